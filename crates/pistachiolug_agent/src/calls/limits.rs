//! Rate limits of customers, in tokens per minute.
//!
//! One agent owns the token bucket of a customer. It is found by rendezvous hashing over all live agents, and the
//! others ask it for each call of the customer. So the limit holds exactly, without a counter in the key-value
//! service. While the owner can't be reached, each agent grants an equal share of the limit on its own.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Response, StatusCode};
use pistachiolug_http::server::Reply;
use pistachiolug_ledger::claim::Claims;
use pistachiolug_platform::{directory::Snapshot, engine::Engine, plain::Service};
use pistachiolug_routing::{
    limit::Bucket,
    subset::{hash, weight},
};
use pistachiolug_wire::{
    codec,
    fault::{Code, Fault},
    instance::{Role, State},
    limit::{Ask, Grant},
};
use rustc_hash::FxHashMap;

use super::{Calls, error_reply, run::Run};

/// Divisor of the rate per minute that gives the burst, the tokens that may be spent at once: those of 10 seconds.
const BURST_DIVISOR: u64 = 6;

/// Time during which an agent that did not answer is not asked again.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time that a correction is kept, to be sent with the customer's next call.
const CORRECTION_RETENTION: Duration = Duration::from_secs(60);

/// Token buckets and corrections that one agent holds.
#[derive(Debug, Default)]
pub(super) struct Limits {
    /// Buckets of the customers that this agent owns.
    owned: Buckets,
    /// Buckets of this agent's shares of limits whose owners can't be reached.
    local_shares: Buckets,
    /// Corrections to send to the owners, in tokens to give back, with the time of the last change.
    corrections: FxHashMap<String, (i64, Duration)>,
    /// Agents that did not answer, with the time until which they are not asked again.
    unreachable: FxHashMap<SocketAddr, Duration>,
    owners: Owners,
}

/// Buckets and their rates, by customer; a missing bucket counts as full.
#[derive(Debug, Default)]
struct Buckets {
    rows: FxHashMap<String, (u64, Bucket)>,
}

/// Agents that may own limits, and the instance list that they were taken from.
#[derive(Debug, Default)]
struct Owners {
    snapshot: Option<Arc<Snapshot>>,
    /// Hash of the name, and address; the address is `None` for this agent.
    rows: Vec<(u64, Option<SocketAddr>)>,
}

impl Buckets {
    fn take(
        &mut self,
        customer: &str,
        rate: u64,
        cost: u32,
        now: Duration,
    ) -> Result<(), Duration> {
        if !self.rows.contains_key(customer) {
            let bucket = Bucket::new(burst(rate), now);
            self.rows.insert(customer.to_owned(), (rate, bucket));
        }
        let Some((known, bucket)) = self.rows.get_mut(customer) else {
            return Ok(());
        };
        *known = rate;
        bucket.take(rate, burst(rate), cost.into(), now)
    }

    fn give_back(&mut self, customer: &str, tokens: i64) {
        if let Some((_, bucket)) = self.rows.get_mut(customer) {
            bucket.refund(tokens);
        }
    }

    fn trim(&mut self, now: Duration) {
        self.rows
            .retain(|_, (rate, bucket)| !bucket.is_full(*rate, burst(*rate), now));
    }
}

impl Owners {
    fn update(&mut self, snapshot: &Arc<Snapshot>, own: &str) {
        let is_same = |known: &Arc<Snapshot>| Arc::ptr_eq(known, snapshot);
        if self.snapshot.as_ref().is_some_and(is_same) {
            return;
        }
        let live = snapshot
            .instances
            .iter()
            .filter(|row| row.role == Role::Agent && row.state == State::Live);
        self.rows = live
            .map(|row| {
                let address = (row.name != own).then_some(row.address);
                (hash(row.name.as_bytes()), address)
            })
            .collect();
        self.snapshot = Some(Arc::clone(snapshot));
    }

    /// Returns the address of the agent that owns a customer's limit; `None` if it is this agent.
    fn owner_of(&self, customer: &str) -> Option<SocketAddr> {
        let customer = hash(customer.as_bytes());
        let best = self.rows.iter().max_by_key(|row| weight(customer, row.0))?;
        best.1
    }
}

impl Limits {
    /// Removes full buckets, expired corrections and agents that may be asked again.
    pub(super) fn trim(&mut self, now: Duration) {
        self.owned.trim(now);
        self.local_shares.trim(now);
        self.corrections
            .retain(|_, row| now < row.1 + CORRECTION_RETENTION);
        self.unreachable.retain(|_, until| now < *until);
    }

    /// Returns the number of customers for whom this agent holds a bucket as the owner.
    pub(super) fn owned_customers(&self) -> usize {
        self.owned.rows.len()
    }

    /// Corrects the charge of a call from its estimated to its actual cost.
    pub(super) fn settle(&mut self, run: &Run, actual: u32, now: Duration) {
        let customer = &run.open.customer;
        let tokens = i64::from(run.cost) - i64::from(actual);
        if self.owners.owner_of(customer).is_none() {
            self.owned.give_back(customer, tokens);
            return;
        }
        let row = self.corrections.entry(customer.clone()).or_insert((0, now));
        *row = (row.0 + tokens, now);
    }

    /// Charges this agent's share of a limit whose owner can't be reached.
    fn take_local_share(&mut self, ask: &Ask, now: Duration) -> Result<(), Duration> {
        let share = (ask.rate / self.owners.rows.len().max(1) as u64).max(1);
        self.local_shares.take(&ask.customer, share, ask.cost, now)
    }

    /// Returns the agent to ask; `None` if this agent decides on its own.
    fn reachable_owner(&self, customer: &str, now: Duration) -> Option<SocketAddr> {
        let owner = self.owners.owner_of(customer)?;
        let unreachable = self
            .unreachable
            .get(&owner)
            .is_some_and(|until| now < *until);
        (!unreachable).then_some(owner)
    }
}

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Charges the estimated cost of a call to its customer's limit; a `rate` of 0 means no limit.
    ///
    /// # Errors
    /// Returns the fault of a call that exceeds the limit, with the retry delay.
    pub(super) async fn charge_limit(&self, run: &Run, rate: u64) -> Result<(), Fault> {
        if rate == 0 {
            return Ok(());
        }
        let charged = match self.prepare_ask(run, rate) {
            (ask, None) => self.charge_locally(&ask),
            (ask, Some(owner)) => self.ask_owner(ask, owner).await,
        };
        charged
            .map_err(|wait| Fault::not_run(Code::RateLimited, wait, "customer's limit is used up"))
    }

    /// Handles a request of another agent to charge a limit that this agent owns.
    pub fn grant_limit(&self, body: &[u8]) -> Reply {
        let Ok(ask) = codec::decode::<Ask>(body) else {
            return error_reply(StatusCode::BAD_REQUEST);
        };
        let now = self.now();
        let mut state = self.lock();
        let owned = &mut state.limits.owned;
        owned.give_back(&ask.customer, ask.returned);
        let charged = owned.take(&ask.customer, ask.rate, ask.cost, now);
        let wait = charged.err().unwrap_or_default().as_millis();
        let grant = Grant {
            retry_after_ms: u32::try_from(wait).unwrap_or(u32::MAX),
        };
        Response::new(codec::encode(&grant).into())
    }

    fn prepare_ask(&self, run: &Run, rate: u64) -> (Ask, Option<SocketAddr>) {
        let now = self.now();
        let snapshot = self.inner.dependencies.view.snapshot();
        let mut state = self.lock();
        let limits = &mut state.limits;
        limits
            .owners
            .update(&snapshot, &self.inner.options.instance);
        let customer = run.open.customer.clone();
        let owner = limits.reachable_owner(&customer, now);
        let returned = match owner {
            Some(_) => limits.corrections.remove(&customer).unwrap_or_default().0,
            None => 0,
        };
        let ask = Ask {
            customer,
            rate,
            cost: run.cost,
            returned,
        };
        (ask, owner)
    }

    /// Charges a limit without asking: as its owner, or from this agent's share while the owner can't be reached.
    fn charge_locally(&self, ask: &Ask) -> Result<(), Duration> {
        let now = self.now();
        let mut state = self.lock();
        let limits = &mut state.limits;
        if limits.owners.owner_of(&ask.customer).is_some() {
            return limits.take_local_share(ask, now);
        }
        limits.owned.take(&ask.customer, ask.rate, ask.cost, now)
    }

    async fn ask_owner(&self, ask: Ask, owner: SocketAddr) -> Result<(), Duration> {
        let granted = self.inner.dependencies.peers.ask_limit(owner, &ask).await;
        let Some(grant) = granted else {
            let now = self.now();
            let mut state = self.lock();
            let limits = &mut state.limits;
            limits
                .unreachable
                .insert(owner, now + UNREACHABLE_RETRY_DELAY);
            let row = limits.corrections.entry(ask.customer.clone());
            row.or_insert((0, now)).0 += ask.returned;
            return limits.take_local_share(&ask, now);
        };
        match grant.retry_after_ms {
            0 => Ok(()),
            wait => Err(Duration::from_millis(wait.into())),
        }
    }
}

fn burst(rate: u64) -> u64 {
    (rate / BURST_DIVISOR).max(1)
}
