//! Limits of customers in tokens a minute.
//!
//! Each customer's bucket is kept by one agent, found by rendezvous hashing over all live agents, and the others ask it
//! for each of the customer's calls; so the limit holds exactly without a counter in the key-value service. While that
//! agent can't be reached, each agent grants an even part of the limit by itself.

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

use super::{Calls, refuse, run::Run};

/// Part of a minute that may be spent at once.
const BURST_PART: u64 = 6;

/// Time for which an agent that did not answer is not asked again.
const SHUN_TIME: Duration = Duration::from_secs(1);

/// Time for which a correction is kept for the customer's next call.
const RETURN_TIME: Duration = Duration::from_secs(60);

/// What one agent keeps of customers' limits.
#[derive(Debug, Default)]
pub(super) struct Limits {
    /// Buckets that this agent keeps for all.
    kept: Buckets,
    /// Buckets of this agent's part of limits whose keeper can't be reached.
    apart: Buckets,
    /// Corrections to be told to the keepers, in tokens, with the time of the last change.
    returns: FxHashMap<String, (i64, Duration)>,
    /// Agents that did not answer, with the time until which they are not asked.
    shunned: FxHashMap<SocketAddr, Duration>,
    keepers: Keepers,
}

/// Buckets by customer; a full bucket is as good as none.
#[derive(Debug, Default)]
struct Buckets {
    rows: FxHashMap<String, (u64, Bucket)>,
}

/// Agents that may keep limits, by the instance list they were taken from.
#[derive(Debug, Default)]
struct Keepers {
    snapshot: Option<Arc<Snapshot>>,
    /// Hash of the name and address; the address is `None` for this agent.
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
            bucket.give_back(tokens);
        }
    }

    fn trim(&mut self, now: Duration) {
        self.rows
            .retain(|_, (rate, bucket)| !bucket.is_full(*rate, burst(*rate), now));
    }
}

impl Keepers {
    fn update(&mut self, snapshot: &Arc<Snapshot>, own: &str) {
        let same = |known: &Arc<Snapshot>| Arc::ptr_eq(known, snapshot);
        if self.snapshot.as_ref().is_some_and(same) {
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

    /// Finds the keeper of a customer's limit; `None` if it is this agent.
    fn keeper(&self, customer: &str) -> Option<SocketAddr> {
        let customer = hash(customer.as_bytes());
        let best = self.rows.iter().max_by_key(|row| weight(customer, row.0))?;
        best.1
    }
}

impl Limits {
    /// Forgets what is as good as nothing.
    pub(super) fn trim(&mut self, now: Duration) {
        self.kept.trim(now);
        self.apart.trim(now);
        self.returns.retain(|_, row| now < row.1 + RETURN_TIME);
        self.shunned.retain(|_, until| now < *until);
    }

    /// Returns the number of customers whose limits this agent keeps.
    pub(super) fn len(&self) -> usize {
        self.kept.rows.len()
    }

    /// Corrects what a call was charged.
    pub(super) fn settle(&mut self, run: &Run, real: u32, now: Duration) {
        let customer = &run.open.customer;
        let tokens = i64::from(run.cost) - i64::from(real);
        if self.keepers.keeper(customer).is_none() {
            self.kept.give_back(customer, tokens);
            return;
        }
        let row = self.returns.entry(customer.clone()).or_insert((0, now));
        *row = (row.0 + tokens, now);
    }

    /// Charges the part of a limit that this agent grants by itself.
    fn take_apart(&mut self, ask: &Ask, now: Duration) -> Result<(), Duration> {
        let part = (ask.rate / self.keepers.rows.len().max(1) as u64).max(1);
        self.apart.take(&ask.customer, part, ask.cost, now)
    }

    /// Finds whom to ask; `None` if this agent is to decide by itself.
    fn find_keeper(&self, customer: &str, now: Duration) -> Option<SocketAddr> {
        let keeper = self.keepers.keeper(customer)?;
        let shunned = self.shunned.get(&keeper).is_some_and(|until| now < *until);
        (!shunned).then_some(keeper)
    }
}

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Lets a call of a limited customer pass.
    ///
    /// # Errors
    /// The final answer, with the time after which the customer may come back.
    pub(super) async fn allow(&self, run: &Run, rate: u64) -> Result<(), Fault> {
        if rate == 0 {
            return Ok(());
        }
        let passed = match self.prepare(run, rate) {
            (ask, None) => self.decide(&ask),
            (ask, Some(keeper)) => self.ask(ask, keeper).await,
        };
        passed
            .map_err(|wait| Fault::not_run(Code::RateLimited, wait, "customer's limit is used up"))
    }

    /// Answers another agent's ask.
    pub fn grant_limit(&self, body: &[u8]) -> Reply {
        let Ok(ask) = codec::decode::<Ask>(body) else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        let now = self.now();
        let mut desk = self.desk();
        let kept = &mut desk.limits.kept;
        kept.give_back(&ask.customer, ask.returned);
        let passed = kept.take(&ask.customer, ask.rate, ask.cost, now);
        let wait = passed.err().unwrap_or_default().as_millis();
        let grant = Grant {
            retry_after_ms: u32::try_from(wait).unwrap_or(u32::MAX),
        };
        Response::new(codec::encode(&grant).into())
    }

    fn prepare(&self, run: &Run, rate: u64) -> (Ask, Option<SocketAddr>) {
        let now = self.now();
        let snapshot = self.inner.dependencies.view.now();
        let mut desk = self.desk();
        let limits = &mut desk.limits;
        limits
            .keepers
            .update(&snapshot, &self.inner.options.instance);
        let customer = run.open.customer.clone();
        let keeper = limits.find_keeper(&customer, now);
        let returned = match keeper {
            Some(_) => limits.returns.remove(&customer).unwrap_or_default().0,
            None => 0,
        };
        let ask = Ask {
            customer,
            rate,
            cost: run.cost,
            returned,
        };
        (ask, keeper)
    }

    /// Decides without asking: as the keeper, or for this agent's part while the keeper is away.
    fn decide(&self, ask: &Ask) -> Result<(), Duration> {
        let now = self.now();
        let mut desk = self.desk();
        let limits = &mut desk.limits;
        if limits.keepers.keeper(&ask.customer).is_some() {
            return limits.take_apart(ask, now);
        }
        limits.kept.take(&ask.customer, ask.rate, ask.cost, now)
    }

    async fn ask(&self, ask: Ask, keeper: SocketAddr) -> Result<(), Duration> {
        let granted = self.inner.dependencies.peers.ask_limit(keeper, &ask).await;
        let Some(grant) = granted else {
            let now = self.now();
            let mut desk = self.desk();
            let limits = &mut desk.limits;
            limits.shunned.insert(keeper, now + SHUN_TIME);
            let row = limits.returns.entry(ask.customer.clone());
            row.or_insert((0, now)).0 += ask.returned;
            return limits.take_apart(&ask, now);
        };
        match grant.retry_after_ms {
            0 => Ok(()),
            wait => Err(Duration::from_millis(wait.into())),
        }
    }
}

fn burst(rate: u64) -> u64 {
    (rate / BURST_PART).max(1)
}
