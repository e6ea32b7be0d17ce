//! Pull of one version: runs the planner's fetches until all pieces are held.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use pistachiolug_platform::source::Source;
use rand::{SeedableRng, rngs::StdRng};
use snafu::ensure;
use tokio::{task::JoinSet, time::sleep};

use super::{
    ActiveTransfer, Error, Part, PartSender, Shared, Swarm, Target, TooLargeSnafu, poll::Polls,
};
use crate::{
    exchange::HaveResponse,
    manifest::Chunk,
    order::Key,
    planner::{
        Planner,
        fetch::{Fetch, Outcome, Via},
    },
    roster::Roster,
    staging,
};

/// Maximum time between two runs of the planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a task of the pull.
enum Event {
    Fetched(Fetch, Outcome, Option<Bytes>),
    Answered(Key, Option<HaveResponse>),
}

/// State of one pull.
struct Pull<S> {
    shared: Arc<Shared<S>>,
    target: Target,
    roster: Arc<Roster>,
    /// Whether the roster's sender was dropped, so that the roster can no longer change.
    roster_closed: bool,
    pieces: Vec<Chunk>,
    planner: Planner,
    polls: Polls,
    tasks: JoinSet<Event>,
    rng: StdRng,
    parts: Option<PartSender>,
}

impl<S: Source> Swarm<S> {
    /// Pulls a version until all its pieces are staged, or forwarded to `parts`. Dropping the future cancels the pull.
    ///
    /// Failures of peers and sources are retried without limit; the caller drops the pull when the version is
    /// superseded.
    ///
    /// # Errors
    /// [`Error::TooLarge`] if the version does not fit into the staging budget and `parts` is `None`; [`Error::Closed`]
    /// if the receiver of `parts` was dropped.
    pub async fn pull(&self, target: Target, parts: Option<PartSender>) -> Result<(), Error> {
        let budget = self.shared.options.staging_bytes;
        let length = target.manifest.length();
        ensure!(
            parts.is_some() || length <= budget,
            TooLargeSnafu { length, budget }
        );
        let _active = ActiveTransfer::start(&self.shared, target.id);
        let mut pull = Pull::open(&self.shared, target, parts);
        pull.forward_held().await?;
        while !pull.planner.is_complete() {
            pull.start_tasks();
            pull.wait_for_event().await?;
        }
        Ok(())
    }
}

impl<S: Source> Pull<S> {
    fn open(shared: &Arc<Shared<S>>, target: Target, parts: Option<PartSender>) -> Self {
        let now = shared.now();
        let pieces = staging::distinct_chunks(&target.manifest);
        let keys = pieces
            .iter()
            .map(|piece| Key::from(&piece.digest))
            .collect();
        let roster = Arc::clone(&target.roster.borrow());
        let options = &shared.options;
        let mut planner = Planner::new(
            Key::of(&options.instance),
            &options.region,
            &options.home_region,
            &roster,
            keys,
            options.tuning,
            now,
        );
        let held = shared.buffer().open(target.id, &target.manifest, now);
        held.iter().for_each(|piece| planner.mark_held(piece));
        shared.update_progress(&target.id, |progress| {
            progress.held = held.count();
            progress.reused = held.count();
            progress.total = pieces.len();
        });
        Self {
            shared: Arc::clone(shared),
            target,
            roster,
            roster_closed: false,
            pieces,
            planner,
            polls: Polls::default(),
            tasks: JoinSet::new(),
            rng: StdRng::seed_from_u64(rand::random()),
            parts,
        }
    }

    /// Forwards the pieces that were staged before the pull.
    async fn forward_held(&mut self) -> Result<(), Error> {
        let held: Vec<u32> = self.planner.held().iter().collect();
        for piece in held {
            let digest = self.pieces[piece as usize].digest;
            let bytes = self.shared.buffer().chunk(&digest);
            if let Some(bytes) = bytes {
                self.forward(piece, bytes).await?;
            }
        }
        Ok(())
    }

    async fn forward(&self, piece: u32, bytes: Bytes) -> Result<(), Error> {
        let Some(parts) = &self.parts else {
            return Ok(());
        };
        let digest = self.pieces[piece as usize].digest;
        let sent = parts.send(Part { digest, bytes }).await;
        sent.map_err(|_| Error::Closed)
    }

    fn start_tasks(&mut self) {
        let now = self.shared.now();
        let active = self.shared.active_transfers.load(Ordering::Acquire).max(1);
        let slots = self.shared.options.tuning.slots;
        self.planner.set_slots(slots.div_ceil(active));
        self.start_polls(now);
        while let Some(fetch) = self.planner.next_fetch(now, &mut self.rng) {
            self.start_fetch(fetch);
        }
    }

    fn start_polls(&mut self, now: Duration) {
        let neighbours: Vec<Key> = self.planner.neighbours().collect();
        self.polls.retain(|key| neighbours.contains(&key));
        let interval = self.shared.options.query_interval;
        for key in neighbours {
            let Some(address) = self.address(key) else {
                continue;
            };
            if let Some(request) = self.polls.next_request(key, self.target.id, interval, now) {
                let shared = Arc::clone(&self.shared);
                self.tasks.spawn(async move {
                    let response = shared.query(address, request).await;
                    Event::Answered(key, response)
                });
            }
        }
    }

    fn start_fetch(&mut self, fetch: Fetch) {
        let shared = Arc::clone(&self.shared);
        let chunk = self.pieces[fetch.piece as usize];
        let id = self.target.id;
        let address = match fetch.via {
            Via::Source(_) => None,
            Via::Neighbour(key) | Via::Member(key) => self.address(key),
        };
        self.tasks.spawn(async move {
            let (outcome, bytes) = match (fetch.via, address) {
                (Via::Source(index), _) => shared.fetch_source(index, chunk).await,
                (_, Some(address)) => shared.fetch_member(address, &id, chunk).await,
                (_, None) => (Outcome::Failed, None),
            };
            Event::Fetched(fetch, outcome, bytes)
        });
    }

    async fn wait_for_event(&mut self) -> Result<(), Error> {
        tokio::select! {
            Some(Ok(event)) = self.tasks.join_next() => self.handle_event(event).await?,
            changed = self.target.roster.changed(), if !self.roster_closed => match changed {
                Ok(()) => self.update_roster(),
                Err(_) => self.roster_closed = true,
            },
            () = sleep(PLAN_INTERVAL) => {}
        }
        Ok(())
    }

    async fn handle_event(&mut self, event: Event) -> Result<(), Error> {
        let now = self.shared.now();
        let interval = self.shared.options.query_interval;
        match event {
            Event::Answered(key, Some(response)) => {
                let serving = response.serving;
                let have = self.polls.record_response(key, response, now + interval);
                self.planner.record_have(key, have, serving);
            }
            Event::Answered(key, None) => {
                self.polls.record_failure(key, now + interval);
                self.planner.record_no_answer(key, now);
            }
            Event::Fetched(fetch, outcome, bytes) => {
                if let Some(bytes) = bytes {
                    self.store(fetch, bytes, now).await?;
                }
                self.record_outcome(fetch, outcome);
                self.planner.finish_fetch(fetch, outcome, now);
            }
        }
        Ok(())
    }

    async fn store(&mut self, fetch: Fetch, bytes: Bytes, now: Duration) -> Result<(), Error> {
        if self.planner.held().contains(fetch.piece) {
            return Ok(());
        }
        self.forward(fetch.piece, bytes.clone()).await?;
        let evict_own = self.parts.is_some();
        let id = &self.target.id;
        let stored = self
            .shared
            .buffer()
            .insert(id, fetch.piece, bytes, evict_own, now);
        if stored.is_err() && !evict_own {
            let budget = self.shared.options.staging_bytes;
            let length = self.target.manifest.length();
            return TooLargeSnafu { length, budget }.fail();
        }
        self.shared.arrivals.send_modify(|arrivals| *arrivals += 1);
        Ok(())
    }

    fn record_outcome(&self, fetch: Fetch, outcome: Outcome) {
        let length = u64::from(self.pieces[fetch.piece as usize].length);
        let arrived = outcome == Outcome::Arrived;
        self.shared
            .update_progress(&self.target.id, |progress| match (outcome, fetch.via) {
                (Outcome::Arrived, Via::Source(_)) => progress.source_bytes += length,
                (Outcome::Arrived, _) => progress.member_bytes += length,
                (Outcome::Corrupt, _) => progress.corrupt += 1,
                (Outcome::Busy { .. }, Via::Source(_)) => progress.throttled += 1,
                _ => {}
            });
        if arrived && !self.planner.held().contains(fetch.piece) {
            self.shared
                .update_progress(&self.target.id, |progress| progress.held += 1);
        }
    }

    fn update_roster(&mut self) {
        self.roster = Arc::clone(&self.target.roster.borrow_and_update());
        let options = &self.shared.options;
        let now = self.shared.now();
        self.planner
            .set_roster(&options.region, &options.home_region, &self.roster, now);
    }

    fn address(&self, key: Key) -> Option<SocketAddr> {
        self.roster.find(key).map(|member| member.address)
    }
}
