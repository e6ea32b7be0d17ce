//! Fetches the missing pieces of a version as the planner decides.

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
        policy::{Policy, Tuning},
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
    state::{StagedVersion, State, Target},
};

/// Bounds of a transfer of a few megabytes that has to be over within seconds.
const TUNING: Tuning = Tuning {
    policy: Policy::BytesFirst,
    slots: 4,
    neighbour_slots: 2,
    source_slots: 1,
    neighbour_count: 6,
    source_count: 1,
    stall_timeout: Duration::from_millis(1500),
    ask_interval: Duration::from_millis(100),
};

/// Interval of questions to neighbours: about the time in which a link carries two pieces.
const ASK_INTERVAL: Duration = Duration::from_millis(60);

/// Questions without an answer after which a neighbour is taken for unreachable.
const MISSES: u32 = 5;

/// Longest time one fetch from another agent may take, with its wait there and its share of a narrow link.
const AGENT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Longest time one read from the origin may take; its link is shared by all that read at once.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(2500);

/// Largest piece that is accepted, in bytes.
const PIECE_BYTES: usize = 16 << 20;

/// Spoilt pieces after which the digests themselves are read anew.
const SPOILT_MOST: u32 = 6;

/// Header of an answer without a piece: milliseconds since the agent last gained one.
pub const IDLE_HEADER: &str = "x-idle-ms";

/// Header of an answer of a busy agent: milliseconds until it has sent what it has taken on.
pub const BUSY_HEADER: &str = "x-busy-ms";

/// Internal path of a piece.
pub fn piece_path(model: &str, version: u64, index: u32) -> String {
    format!("/internal/piece/{model}/{version}/{index}")
}

/// Fetches pieces of one version.
#[derive(Debug)]
pub struct Fetcher<'a, E, O> {
    /// Agent's state.
    pub state: &'a State,
    /// Engine at which pieces are staged.
    pub engine: &'a E,
    /// Origin.
    pub origin: &'a O,
    /// Client for other agents.
    pub client: &'a Client,
    /// Questions to other agents.
    pub exchange: &'a Exchange,
    /// Version that is fetched.
    pub want: &'a Target,
}

/// Questions that a neighbour has not answered.
type Misses = rustc_hash::FxHashMap<Key, u32>;

impl<E: Engine, O: Origin> Fetcher<'_, E, O> {
    /// Fetches and stages all missing pieces; returns `false` if their digests do not seem to be right.
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
        log::info!(model = staged.model.as_str(), version = staged.version, members, home = home.as_str(), home_members; "pieces to be fetched");
        let mut planner = self.planner(staged, &roster, &home);
        let mut fetches = FuturesUnordered::new();
        let mut asking = interval(ASK_INTERVAL);
        asking.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut misses = Misses::default();
        let mut spoilt = 0;
        while !planner.is_complete() && spoilt < SPOILT_MOST {
            while let Some(fetch) = planner.next_fetch(start.elapsed(), &mut rand::rng()) {
                fetches.push(self.fetch(staged, &roster, fetch));
            }
            tokio::select! {
                Some((fetch, outcome)) = fetches.next() => {
                    spoilt += u32::from(outcome == Outcome::Corrupt);
                    planner.finish_fetch(fetch, outcome, start.elapsed());
                }
                Some(report) = reports.recv() => {
                    // Answers about an older version may wait here since its fetch ended.
                    if report.version == self.want.version {
                        misses.remove(&report.from);
                        planner.record_have(report.from, report.have, report.serving);
                    }
                }
                _ = asking.tick() => self.ask(&mut planner, &roster, &mut misses, start.elapsed()),
            }
        }
        planner.is_complete()
    }

    fn planner(&self, staged: &StagedVersion, roster: &Roster, home: &str) -> Planner {
        let me = &self.state.options.member;
        let pieces = 0..staged.manifest.digests.len() as u32;
        let keys = pieces.map(|index| Key::of(&piece_path(&staged.model, staged.version, index)));
        let mut planner = Planner::new(
            Key::of(&me.name),
            &me.region,
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

    fn ask(&self, planner: &mut Planner, roster: &Roster, misses: &mut Misses, now: Duration) {
        let neighbours: Vec<Key> = planner.neighbours().collect();
        for key in neighbours {
            let missed = misses.entry(key).or_default();
            *missed += 1;
            if *missed > MISSES {
                misses.remove(&key);
                planner.record_no_answer(key, now);
            }
            if let Some(member) = roster.find(key) {
                self.exchange
                    .query(member.address, &self.want.model, self.want.version);
            }
        }
    }

    async fn fetch(
        &self,
        staged: &Rc<StagedVersion>,
        roster: &Roster,
        fetch: Fetch,
    ) -> (Fetch, Outcome) {
        let read = match fetch.via {
            Via::Neighbour(key) | Via::Member(key) => match roster.find(key) {
                Some(member) => self.ask_piece(member.address, staged, fetch.piece).await,
                None => Err(Outcome::Failed),
            },
            Via::Source(_) => self.read_origin(staged, fetch.piece).await,
        };
        let outcome = match read {
            Ok(bytes) => self.stage(staged, fetch, bytes).await,
            Err(outcome) => outcome,
        };
        if matches!(outcome, Outcome::Corrupt | Outcome::Failed) {
            log::info!(model = staged.model.as_str(), version = staged.version, piece = fetch.piece, via:? = fetch.via, outcome:?; "piece not fetched");
        }
        (fetch, outcome)
    }

    async fn stage(&self, staged: &Rc<StagedVersion>, fetch: Fetch, bytes: Bytes) -> Outcome {
        let index = fetch.piece as usize;
        // Paid for afterwards, since an agent that has nothing to give costs the link nothing.
        self.state.download_bucket.take(bytes.len()).await;
        if !staged.manifest.matches(index, &bytes) {
            self.state.metrics.pieces.of("spoilt").inc();
            return Outcome::Corrupt;
        }
        if let Err(error) = self.engine.stage(&staged.model, index, bytes).await {
            log::warn!(model = staged.model.as_str(), index, error:%; "piece not staged");
            return Outcome::Failed;
        }
        let source = match fetch.via {
            Via::Source(_) => "origin",
            Via::Neighbour(_) | Via::Member(_) => "agent",
        };
        self.state.metrics.pieces.of(source).inc();
        staged.set_held(index, true);
        Outcome::Arrived
    }

    async fn read_origin(&self, staged: &StagedVersion, piece: u32) -> Result<Bytes, Outcome> {
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

    async fn ask_piece(
        &self,
        agent: SocketAddr,
        staged: &StagedVersion,
        piece: u32,
    ) -> Result<Bytes, Outcome> {
        let path = piece_path(&staged.model, staged.version, piece);
        let request = Request::get(format!("http://{agent}{path}")).body(Bytes::new());
        let request = request.map_err(|_| Outcome::Failed)?;
        let response = self.client.fetch(request, PIECE_BYTES, AGENT_TIMEOUT).await;
        let response = response.map_err(|_| Outcome::Failed)?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            StatusCode::NOT_FOUND => Err(Outcome::Absent {
                idle: millis(response.headers(), IDLE_HEADER),
            }),
            StatusCode::TOO_MANY_REQUESTS => Err(Outcome::Busy {
                after: millis(response.headers(), BUSY_HEADER).unwrap_or_default(),
            }),
            _ => Err(Outcome::Failed),
        }
    }
}

fn millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let millis = headers.get(name)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
