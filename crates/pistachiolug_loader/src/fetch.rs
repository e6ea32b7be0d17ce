//! Fetches the missing pieces of a version.

use std::{future::Future, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{Method, Request, StatusCode};
use pistachiolug_http::client::Client;
use rand::{RngExt, seq::SliceRandom};
use pistachiolug_http::pace::Pace;
use tokio::time::{sleep, timeout};

use crate::{
    engine::{Engine, Error, Origin},
    roster::{Plan, Roster, Source},
    state::{Staged, State, Want},
};

/// Pieces that are asked of other agents at once: most of them wait there until the piece has come from the origin.
const FETCHES: usize = 16;

/// Longest time one fetch from another agent may take: its wait there and its share of a narrow link.
const AGENT_TIMEOUT: Duration = Duration::from_millis(5000);

/// Longest time one read from the origin may take; its link is shared by all that read at once.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(2500);

/// Rounds in which an agent waits for others that wait for the piece themselves before it reads the origin.
const WAITING_ROUNDS: usize = 3;

/// Longest pause between two rounds over the sources of a piece.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Spoilt copies of a piece after which its digest itself is read anew.
const SPOILT_MOST: usize = 3;

/// Largest piece that is accepted, in bytes.
const PIECE_BYTES: usize = 16 << 20;

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
    /// Version that is fetched.
    pub want: &'a Want,
}

/// Internal path of a piece.
pub fn path(model: &str, version: u64, index: usize) -> String {
    format!("/internal/piece/{model}/{version}/{index}")
}

impl<'a, E: Engine, O: Origin> Fetcher<'a, E, O> {
    /// Creates a fetcher.
    pub fn new(
        state: &'a State,
        engine: &'a E,
        origin: &'a O,
        client: &'a Client,
        want: &'a Want,
    ) -> Self {
        Self {
            state,
            engine,
            origin,
            client,
            want,
        }
    }

    /// Fetches and stages all missing pieces; returns `false` if some could not be had.
    pub async fn run(&self, staged: &Rc<Staged>) -> bool {
        let roster = self.state.roster();
        let pieces = staged.missing().into_iter();
        let mut pieces: Vec<(Plan, usize)> = pieces
            .map(|index| (self.plan(&roster, staged, index), index))
            .collect();
        pieces.shuffle(&mut rand::rng());
        // Others wait for the pieces that this agent passes on.
        pieces.sort_by_key(|(plan, _)| plan.depth);
        let (own, others): (Vec<_>, Vec<_>) = pieces
            .into_iter()
            .partition(|(plan, _)| plan.sources.first() == Some(&Source::Origin));
        // The origin takes few connections, so each agent reads its own pieces one by one.
        let (own, others) = tokio::join!(
            self.pieces(staged, own, 1),
            self.pieces(staged, others, FETCHES)
        );
        own && others
    }

    async fn pieces(
        &self,
        staged: &Rc<Staged>,
        pieces: Vec<(Plan, usize)>,
        at_once: usize,
    ) -> bool {
        let fetches = pieces
            .into_iter()
            .map(|(plan, index)| self.piece(staged, plan.sources, index));
        let done: Vec<bool> = stream::iter(fetches)
            .buffer_unordered(at_once)
            .collect()
            .await;
        done.into_iter().all(|done| done)
    }

    fn plan(&self, roster: &Roster, staged: &Staged, index: usize) -> Plan {
        let name = path(&staged.model, staged.version, index);
        let origin = self.state.origin();
        let home = origin.as_ref().map(|origin| origin.region.as_str());
        roster.plan(&self.state.options.me, &name, self.want.version, home)
    }

    /// Fetches one piece, as long as it takes; returns `false` if its digest does not seem to be right.
    async fn piece(&self, staged: &Rc<Staged>, sources: Vec<Source>, index: usize) -> bool {
        let mut spoilt = 0;
        for round in 0.. {
            let mut awaited = false;
            for source in &sources {
                // Agents that wait for the piece themselves get it soon; the origin is for when they don't.
                if *source == Source::Origin && awaited && round < WAITING_ROUNDS {
                    break;
                }
                match self.read(*source, staged, index).await {
                    Ok(bytes) if staged.manifest.fits(index, &bytes) => {
                        return self.stage(staged, *source, index, bytes).await;
                    }
                    Ok(_) => {
                        spoilt += 1;
                        self.state.metrics.pieces.of("spoilt").inc();
                        log::warn!(model = staged.model.as_str(), version = staged.version, index, source:?; "piece does not fit its digest");
                    }
                    Err(error) => {
                        awaited |= error == Error::Waiting;
                        log::info!(model = staged.model.as_str(), version = staged.version, index, source:?, error:%; "piece not fetched");
                    }
                }
            }
            if spoilt >= SPOILT_MOST {
                return false;
            }
            let pause = rand::rng().random_range(0.5..1.0);
            sleep(ROUND_PAUSE.mul_f64(pause)).await;
        }
        false
    }

    async fn stage(
        &self,
        staged: &Rc<Staged>,
        source: Source,
        index: usize,
        bytes: Bytes,
    ) -> bool {
        let name = match source {
            Source::Agent(_) => "agent",
            Source::Origin => "origin",
        };
        self.state.metrics.pieces.of(name).inc();
        match self.engine.stage(&staged.model, index, bytes).await {
            Ok(()) => {
                staged.set(index, true);
                true
            }
            Err(error) => {
                log::warn!(model = staged.model.as_str(), index, error:%; "piece not staged");
                false
            }
        }
    }

    async fn read(&self, source: Source, staged: &Staged, index: usize) -> Result<Bytes, Error> {
        match source {
            Source::Agent(address) => within(AGENT_TIMEOUT, self.ask(address, staged, index)).await,
            Source::Origin => {
                let origin = self.state.origin().ok_or_else(|| failed("no origin"))?;
                self.state.down.take(self.want.piece_bytes).await;
                let read = self
                    .origin
                    .piece(origin.address, &staged.model, staged.version, index);
                within(ORIGIN_TIMEOUT, read).await
            }
        }
    }

    async fn ask(&self, agent: SocketAddr, staged: &Staged, index: usize) -> Result<Bytes, Error> {
        let path = path(&staged.model, staged.version, index);
        self.call(agent, Method::HEAD, &path).await?;
        self.state.down.take(self.want.piece_bytes).await;
        self.call(agent, Method::GET, &path).await
    }

    async fn call(&self, agent: SocketAddr, method: Method, path: &str) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{agent}{path}"))
            .body(Bytes::new())
            .map_err(|error| failed(&error.to_string()))?;
        let response = self.client.fetch(request, PIECE_BYTES, AGENT_TIMEOUT).await;
        let response = response.map_err(|error| failed(&error.to_string()))?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            StatusCode::ACCEPTED => Err(Error::Waiting),
            status => Err(failed(status.as_str())),
        }
    }
}

fn failed(reason: &str) -> Error {
    Error::Failed {
        reason: reason.to_owned(),
    }
}

async fn within(
    time: Duration,
    read: impl Future<Output = Result<Bytes, Error>>,
) -> Result<Bytes, Error> {
    timeout(time, read)
        .await
        .unwrap_or_else(|_| Err(failed("no answer in time")))
}
