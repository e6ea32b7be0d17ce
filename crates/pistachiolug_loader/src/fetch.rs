//! Fetches the missing pieces of a version in the order that the planner decides.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{HeaderMap, Request, StatusCode};
use pistachiolug_http::{client::Client, pace::Pace};
use pistachiolug_weights::{
    order::Key,
    planner::{
        Planner,
        fetch::{Fetch, Outcome, Via},
        policy::{Policy, Scope, Tuning},
    },
    roster::Roster,
};
use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval, timeout},
};

use crate::{
    engine::{Engine, Error, Origin},
    exchange::{Exchange, PeerReport},
    staged::StagedVersion,
    state::{State, Target},
};

/// Limits of a transfer of a few megabytes that has to finish within seconds.
pub const TUNING: Tuning = Tuning {
    policy: Policy::BytesFirst,
    slots: 5,
    neighbour_slots: 2,
    source_slots: 1,
    neighbour_count: 6,
    source_count: 1,
    stall_timeout: Duration::from_millis(1500),
    ask_interval: Duration::from_millis(100),
    // Agents that are killed are back within a second, and may hold the only copies of some pieces.
    suspect_time: Duration::from_millis(1500),
    max_readers: 12,
    shares_reads: true,
};

/// Interval between two queries to each neighbour: about the time in which a link carries two pieces.
const QUERY_INTERVAL: Duration = Duration::from_millis(60);

/// Consecutive unanswered queries after which a neighbour counts as unreachable.
const MAX_UNANSWERED_QUERIES: u32 = 5;

/// Timeout of a fetch from another agent; covers the wait in its upload queue and its share of a link with
/// little bandwidth.
const AGENT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Timeout of a read from the origin, whose link is shared by all concurrent readers.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(2500);

/// Largest accepted piece in bytes.
const MAX_PIECE_BYTES: usize = 8 << 20;

/// Memory in bytes of the pieces that are fetched ahead.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Number of corrupt pieces after which the manifest itself is suspected to be wrong and read again.
const MAX_CORRUPT_PIECES: u32 = 6;

/// Response header of a 404: milliseconds since the agent's own transfer last gained a piece.
pub const IDLE_HEADER: &str = "x-idle-ms";

/// Response header of a 429: milliseconds until the agent has sent its upload backlog.
pub const BUSY_HEADER: &str = "x-busy-ms";

/// Returns the internal path of a piece.
pub fn piece_path(model: &str, version: u64, index: u32) -> String {
    format!("/internal/piece/{model}/{version}/{index}")
}

/// Fetcher of the pieces of one version.
#[derive(Debug)]
pub struct Fetcher<'a, E, O> {
    /// State of the agent.
    pub state: &'a State,
    /// Engine at which the pieces are staged.
    pub engine: &'a E,
    /// Origin of weights.
    pub origin: &'a O,
    /// HTTP client for other agents.
    pub client: &'a Client,
    /// Datagram exchange for queries to other agents.
    pub exchange: &'a Exchange,
    /// Version to fetch.
    pub target: &'a Target,
}

/// Read of a piece from the origin, of which other agents are told; it ends when it is dropped.
struct Reading<'a> {
    staged: &'a StagedVersion,
    piece: u32,
}

impl<'a> Reading<'a> {
    fn begin(staged: &'a StagedVersion, exchange: &Exchange, piece: u32) -> Self {
        staged.set_reading(piece, true);
        exchange.report_change(&staged.model, staged.version);
        Self { staged, piece }
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.staged.set_reading(self.piece, false);
    }
}

/// Number of consecutive unanswered queries by neighbour.
type UnansweredQueries = rustc_hash::FxHashMap<Key, u32>;

impl<E: Engine, O: Origin> Fetcher<'_, E, O> {
    /// Fetches and stages all missing pieces. Returns `false` after too many corrupt pieces, which means that the
    /// manifest may be wrong.
    pub async fn run(
        &self,
        staged: &Rc<StagedVersion>,
        reports: &mut mpsc::Receiver<PeerReport>,
    ) -> bool {
        let start = Instant::now();
        let roster = self.state.roster();
        let home = self.state.origin().map(|origin| origin.region);
        let home = home.unwrap_or_default();
        let (members, home_members) = (roster.members().len(), roster.keys_in_region(&home).len());
        log::info!(model = staged.model.as_str(), version = staged.version, members, home = home.as_str(), home_members; "fetching pieces");
        let mut planner = self.create_planner(staged, &roster, &home);
        let mut fetches = FuturesUnordered::new();
        let mut queries = interval(QUERY_INTERVAL);
        queries.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut unanswered = UnansweredQueries::default();
        let mut corrupt_pieces = 0;
        while !planner.is_complete() && corrupt_pieces < MAX_CORRUPT_PIECES {
            self.state.adjust_rates();
            planner.set_scope(self.scope(staged).unwrap_or_default());
            while self.scope(staged).is_some()
                && let Some(fetch) = planner.next_fetch(start.elapsed(), &mut rand::rng())
            {
                fetches.push(self.fetch_piece(staged, &roster, fetch));
            }
            tokio::select! {
                Some((fetch, outcome)) = fetches.next() => {
                    corrupt_pieces += u32::from(outcome == Outcome::Corrupt);
                    planner.finish_fetch(fetch, outcome, start.elapsed());
                }
                Some(report) = reports.recv() => {
                    // Reports about an older version may still be queued from its fetch.
                    if report.version == self.target.version {
                        unanswered.remove(&report.from);
                        planner.record_have(report.from, report.have, report.serving);
                        planner.record_reading(report.from, report.reading);
                    }
                }
                _ = queries.tick() => self.query_neighbours(&mut planner, &roster, &mut unanswered, start.elapsed()),
            }
            staged.set_unavailable(planner.unavailable());
        }
        planner.is_complete()
    }

    /// Returns which pieces may be fetched now; `None` if none. A version that is fetched ahead uses the origin and the link
    /// only while the older one does not need them.
    fn scope(&self, staged: &StagedVersion) -> Option<Scope> {
        if self.state.is_first(self.target.version) {
            Some(Scope::All)
        } else if staged.buffered_bytes() >= MAX_BUFFERED_BYTES {
            None
        } else {
            self.state.ahead_scope()
        }
    }

    fn create_planner(&self, staged: &StagedVersion, roster: &Roster, home: &str) -> Planner {
        let member = &self.state.options.member;
        let pieces = 0..staged.manifest.digests.len() as u32;
        let keys = pieces.map(|index| Key::of(&piece_path(&staged.model, staged.version, index)));
        let mut planner = Planner::new(
            Key::of(&member.name),
            &member.region,
            home,
            roster,
            keys.collect(),
            TUNING,
            Duration::ZERO,
        );
        for piece in staged.held().iter() {
            planner.mark_held(piece);
        }
        planner
    }

    fn query_neighbours(
        &self,
        planner: &mut Planner,
        roster: &Roster,
        unanswered: &mut UnansweredQueries,
        now: Duration,
    ) {
        let neighbours: Vec<Key> = planner.neighbours().collect();
        for key in neighbours {
            let count = unanswered.entry(key).or_default();
            *count += 1;
            if *count > MAX_UNANSWERED_QUERIES {
                unanswered.remove(&key);
                planner.record_no_answer(key, now);
            }
            if let Some(member) = roster.find(key) {
                self.exchange
                    .query(member.address, &self.target.model, self.target.version);
            }
        }
    }

    async fn fetch_piece(
        &self,
        staged: &Rc<StagedVersion>,
        roster: &Roster,
        fetch: Fetch,
    ) -> (Fetch, Outcome) {
        let read = match fetch.via {
            Via::Neighbour(key) | Via::Member(key) => match roster.find(key) {
                Some(member) => {
                    self.read_from_agent(member.address, staged, fetch.piece)
                        .await
                }
                None => Err(Outcome::Failed),
            },
            Via::Source(_) => {
                let _reading = Reading::begin(staged, self.exchange, fetch.piece);
                self.read_from_origin(staged, fetch.piece).await
            }
        };
        let outcome = match read {
            Ok(bytes) => self.verify_and_stage(staged, fetch, bytes).await,
            Err(outcome) => outcome,
        };
        if matches!(outcome, Outcome::Corrupt | Outcome::Failed) {
            log::info!(model = staged.model.as_str(), version = staged.version, piece = fetch.piece, via:? = fetch.via, outcome:?; "piece not fetched");
        }
        (fetch, outcome)
    }

    async fn verify_and_stage(
        &self,
        staged: &Rc<StagedVersion>,
        fetch: Fetch,
        bytes: Bytes,
    ) -> Outcome {
        let length = bytes.len();
        let outcome = self.keep_piece(staged, fetch, bytes).await;
        // The download is paced after the response: a response without a piece must not use up the link's budget, and
        // others can have the piece meanwhile.
        if matches!(fetch.via, Via::Source(_)) {
            // The origin is the narrowest link, and must not wait for this one.
            self.state.download_bucket.charge(length);
        } else {
            self.state.download_bucket.take(length).await;
        }
        outcome
    }

    async fn keep_piece(&self, staged: &Rc<StagedVersion>, fetch: Fetch, bytes: Bytes) -> Outcome {
        let index = fetch.piece as usize;
        if !staged.manifest.matches(index, &bytes) {
            self.state.metrics.pieces.get("spoilt").inc();
            return Outcome::Corrupt;
        }
        if matches!(fetch.via, Via::Source(_)) {
            staged.keep_from_origin(index, bytes.clone());
        }
        if let Err(error) = self.stage_or_buffer(staged, index, bytes).await {
            log::warn!(model = staged.model.as_str(), version = staged.version, index, error:%; "piece not staged");
            return Outcome::Failed;
        }
        let source = match fetch.via {
            Via::Source(_) => "origin",
            Via::Neighbour(_) | Via::Member(_) => "agent",
        };
        self.state.metrics.pieces.get(source).inc();
        self.exchange.report_change(&staged.model, staged.version);
        Outcome::Arrived
    }

    /// Stages a piece, or keeps it in memory while the engine needs the pieces of another version.
    async fn stage_or_buffer(
        &self,
        staged: &Rc<StagedVersion>,
        index: usize,
        bytes: Bytes,
    ) -> Result<(), Error> {
        let state = self.state;
        if state.may_stage(staged.version) {
            let permit = state.stage.permit().await;
            // The plan may have changed meanwhile.
            if state.may_stage(staged.version) {
                let write =
                    state
                        .stage
                        .write(permit, self.engine, &state.shelf, staged, index, bytes);
                return write.await;
            }
        }
        staged.buffer(index, bytes);
        Ok(())
    }

    async fn read_from_origin(&self, staged: &StagedVersion, piece: u32) -> Result<Bytes, Outcome> {
        let origin = self.state.origin().ok_or(Outcome::Failed)?;
        let read = self.origin.read_piece(
            origin.address,
            &staged.model,
            staged.version,
            piece as usize,
        );
        let start = Instant::now();
        match timeout(ORIGIN_TIMEOUT, read).await {
            Ok(Ok(bytes)) => {
                let taken_ms = start.elapsed().as_millis() as u64;
                log::info!(model = staged.model.as_str(), version = staged.version, piece, taken_ms; "piece read from the origin");
                Ok(bytes)
            }
            Ok(Err(Error::Gone)) => Err(Outcome::Absent { idle: None }),
            Ok(Err(Error::Failed { .. })) | Err(_) => Err(Outcome::Failed),
        }
    }

    async fn read_from_agent(
        &self,
        agent: SocketAddr,
        staged: &StagedVersion,
        piece: u32,
    ) -> Result<Bytes, Outcome> {
        let path = piece_path(&staged.model, staged.version, piece);
        let request = Request::get(format!("http://{agent}{path}")).body(Bytes::new());
        let request = request.map_err(|_| Outcome::Failed)?;
        let response = self
            .client
            .fetch(request, MAX_PIECE_BYTES, AGENT_TIMEOUT)
            .await;
        let response = response.map_err(|_| Outcome::Failed)?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            StatusCode::NOT_FOUND => Err(Outcome::Absent {
                idle: header_duration(response.headers(), IDLE_HEADER),
            }),
            StatusCode::TOO_MANY_REQUESTS => Err(Outcome::Busy {
                after: header_duration(response.headers(), BUSY_HEADER).unwrap_or_default(),
            }),
            _ => Err(Outcome::Failed),
        }
    }
}

fn header_duration(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let millis = headers.get(name)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
