//! Brings the engine to the wanted version, again and again.

use std::{rc::Rc, time::Duration};

use pistachiolug_http::client::Client;
use pistachiolug_kernel::timer::Ticks;
use pistachiolug_platform::kv::Store;
use pistachiolug_wire::datagram::{self, Change, Datagram, Notice};
use tokio::{net::UdpSocket, sync::mpsc, time::sleep};

use crate::{
    discovery::Discovery,
    engine::{Engine, Error, LoadResponse, Origin, Report},
    exchange::{Exchange, PeerReport},
    fetch::Fetcher,
    manifest::ManifestReader,
    row::Decoder,
    schedule,
    state::{StagedVersion, State, Target},
};

/// Interval of looks at an engine that loads.
const LOAD_LOOK: Duration = Duration::from_millis(100);

/// Longest time a load may take before the engine is looked at anew: running requests end within their deadlines.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between the notice of a load and its order, in which short streams end and nothing new is sent.
const NOTICE_LEAD: Duration = Duration::from_millis(300);

/// Pause after a failure, before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Loader of one engine.
#[derive(Debug)]
pub struct Loader<E, O, S, D> {
    /// Agent's state.
    pub state: Rc<State>,
    /// Engine.
    pub engine: E,
    /// Origin.
    pub origin: O,
    /// Ways to discovery of weights and agents.
    pub discovery: Discovery<S, D>,
    /// Client for other agents.
    pub client: Client,
    /// Socket for notices.
    pub socket: UdpSocket,
    /// Questions to other agents.
    pub exchange: Exchange,
    /// What other agents say.
    pub reports: mpsc::Receiver<PeerReport>,
}

impl<E: Engine, O: Origin, S: Store, D: Decoder> Loader<E, O, S, D> {
    /// Runs until the process ends; looks at the engine at each tick and whenever a version is named.
    pub async fn run(mut self, mut ticks: Ticks) {
        let state = Rc::clone(&self.state);
        let mut reachable = true;
        loop {
            let looked = if let Some(want) = self.state.update_target() {
                tokio::select! {
                    looked = self.look(&want) => looked,
                    () = state.wait_until_superseded(&want) => continue,
                }
            } else if self.discovery.refresh_view(&self.state).await {
                continue;
            } else {
                Err(failed("weights are not known"))
            };
            if let Err(error) = &looked
                && reachable
            {
                log::warn!(error:%; "weights not in order");
            } else if looked.is_ok() && !reachable {
                log::info!("weights in order again");
            }
            reachable = looked.is_ok();
            if looked.is_err() {
                sleep(RETRY_PAUSE).await;
            }
            tokio::select! {
                () = ticks.next() => {}
                () = self.state.wake.notified() => {}
            }
        }
    }

    /// Takes the steps that bring the engine to a version.
    async fn look(&mut self, want: &Target) -> Result<(), Error> {
        let report = self.engine.report().await?;
        let held = report.loaded_version(&want.model);
        self.state.set_loaded_version(held);
        // When a version is due follows from what the engine holds.
        let current = self.state.update_target();
        let want = current.as_ref().unwrap_or(want);
        let staged = self.staged(want).await?;
        if held.is_some_and(|held| held >= want.version) || report.busy {
            return Ok(());
        }
        self.fetch(want, &staged).await?;
        if held.is_some() {
            schedule::wait_for_turn(&self.state, want).await;
        }
        self.check(&staged).await?;
        if !staged.missing().is_empty() {
            self.state.wake.notify_one();
            return Ok(());
        }
        self.load(want, &report).await
    }

    /// Returns the record of staged pieces, made from what the engine holds if there is none yet.
    async fn staged(&self, want: &Target) -> Result<Rc<StagedVersion>, Error> {
        if let Some(staged) = self.state.staged(&want.model, want.version) {
            return Ok(staged);
        }
        self.exchange.announce(&want.model, want.version);
        let origin = self.state.origin();
        let origin = origin.ok_or_else(|| failed("no origin is configured"))?;
        self.discovery.refresh_view(&self.state).await;
        let source = ManifestReader {
            state: &self.state,
            origin: &self.origin,
            client: &self.client,
            address: origin.address,
        };
        let manifest = source.read(want).await?;
        let staged = Rc::new(StagedVersion::new(want, manifest, self.state.clock()));
        self.check(&staged).await?;
        log::info!(model = want.model.as_str(), version = want.version, missing = staged.missing().len(); "staged pieces checked");
        self.state.set_staged(Some(Rc::clone(&staged)));
        Ok(staged)
    }

    async fn fetch(&mut self, want: &Target, staged: &Rc<StagedVersion>) -> Result<(), Error> {
        let missing = staged.missing().len();
        if missing == 0 {
            return Ok(());
        }
        let start = self.state.now();
        // An engine that serves nothing yet leaves its link to the weights.
        let rate = if self.state.has_no_version() {
            0
        } else {
            self.state.upload_bucket.rate()
        };
        self.state.download_bucket.set_rate(rate);
        let fetcher = Fetcher {
            state: &self.state,
            engine: &self.engine,
            origin: &self.origin,
            client: &self.client,
            exchange: &self.exchange,
            want,
        };
        let whole = fetcher.run(staged, &mut self.reports).await;
        let taken_ms = (self.state.now().saturating_sub(start)).as_millis() as u64;
        log::info!(model = want.model.as_str(), version = want.version, missing, whole, taken_ms; "pieces fetched");
        if whole {
            return Ok(());
        }
        // The digests themselves may be spoilt: read them anew next time.
        self.state.set_staged(None);
        Err(failed("pieces are missing"))
    }

    /// Reads all staged pieces and notes which are whole; those that have turned bad count as missing.
    async fn check(&self, staged: &StagedVersion) -> Result<(), Error> {
        for index in 0..staged.manifest.digests.len() {
            let bytes = self.engine.read_staged(&staged.model, index).await?;
            let whole = bytes.is_some_and(|bytes| staged.manifest.matches(index, &bytes));
            match (staged.is_staged(index), whole) {
                (true, false) => {
                    self.state.metrics.pieces.of("spoilt").inc();
                    log::warn!(model = staged.model.as_str(), version = staged.version, index; "staged piece has turned bad");
                    staged.set_held(index, false);
                }
                (false, true) => {
                    self.state.metrics.pieces.of("staged").inc();
                    staged.set_held(index, true);
                }
                (true, true) | (false, false) => {}
            }
        }
        Ok(())
    }

    async fn load(&self, want: &Target, report: &Report) -> Result<(), Error> {
        let model = want.model.as_str();
        if report.loaded_version(model).is_some() {
            let for_ms = LOAD_TIMEOUT.as_millis() as u32;
            self.notify(want, report, Change::Loading { for_ms });
            sleep(NOTICE_LEAD).await;
        }
        let ordered = self
            .engine
            .load(model, want.version, report.accepted_orders)
            .await?;
        let before = report.loaded_version(model);
        log::info!(model, version = want.version, before:?, orders = report.accepted_orders, ordered:?; "load ordered");
        if ordered == LoadResponse::Conflict {
            sleep(RETRY_PAUSE).await;
            return Ok(());
        }
        let start = self.state.now();
        loop {
            sleep(LOAD_LOOK).await;
            let report = self.engine.report().await?;
            let taken = self.state.now().saturating_sub(start);
            let taken_ms = taken.as_millis() as u64;
            if report.loaded_version(model) == Some(want.version) {
                let version = want.version;
                self.state.set_loaded_version(Some(version));
                self.notify(want, &report, Change::Holds { version });
                self.state.metrics.loads.inc();
                log::info!(model, version = want.version, taken_ms; "version serves");
                return Ok(());
            }
            if taken >= LOAD_TIMEOUT {
                log::warn!(model, version = want.version, taken_ms; "load takes long");
                return Ok(());
            }
        }
    }
}

impl<E: Engine, O: Origin, S, D> Loader<E, O, S, D> {
    /// Tells all entries of a change, ahead of the platform's list.
    fn notify(&self, want: &Target, report: &Report, change: Change) {
        let notice = Notice {
            server: self.state.options.server_address,
            started: report.started_ms,
            model: want.model.clone(),
            change,
        };
        let message = match datagram::encode(&Datagram::Notice(notice)) {
            Ok(message) => message,
            Err(error) => {
                log::warn!(error:%; "notice not encoded");
                return;
            }
        };
        for entry in self.state.entries() {
            // A lost notice is made up for by the list, and by the server's own refusals.
            if let Err(error) = self.socket.try_send_to(&message, entry) {
                log::debug!(entry:%, error:%; "notice not sent");
            }
        }
    }
}

fn failed(reason: &str) -> Error {
    Error::Failed {
        reason: reason.to_owned(),
    }
}
