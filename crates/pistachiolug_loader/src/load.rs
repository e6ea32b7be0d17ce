//! Control loop that brings the engine to the required version.

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

/// Interval between two reads of the engine's report during a load.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a load, after which the engine's state is evaluated again. Running requests end within their deadlines.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay between the notice of a load and the load order. In this time short streams finish and entries send no new
/// requests.
const NOTICE_DELAY: Duration = Duration::from_millis(300);

/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Loader of one engine.
#[derive(Debug)]
pub struct Loader<E, O, S, D> {
    /// State of the agent.
    pub state: Rc<State>,
    /// Engine to load the weights into.
    pub engine: E,
    /// Origin of weights.
    pub origin: O,
    /// Source of views of the service's weights and agents.
    pub discovery: Discovery<S, D>,
    /// HTTP client for other agents.
    pub client: Client,
    /// Socket for notices to entries.
    pub socket: UdpSocket,
    /// Datagram exchange with other agents.
    pub exchange: Exchange,
    /// Reports of the pieces that other agents have.
    pub reports: mpsc::Receiver<PeerReport>,
}

impl<E: Engine, O: Origin, S: Store, D: Decoder> Loader<E, O, S, D> {
    /// Runs until the process ends. The engine is checked at each tick and whenever a version is announced.
    pub async fn run(mut self, mut ticks: Ticks) {
        let state = Rc::clone(&self.state);
        let mut healthy = true;
        loop {
            let result = if let Some(target) = self.state.update_target() {
                tokio::select! {
                    result = self.reconcile(&target) => result,
                    () = state.wait_until_superseded(&target) => continue,
                }
            } else if self.discovery.refresh_view(&self.state).await {
                continue;
            } else {
                Err(failed("the weights of the service are not known"))
            };
            if let Err(error) = &result
                && healthy
            {
                log::warn!(error:%; "engine not brought to its version");
            } else if result.is_ok() && !healthy {
                log::info!("engine can be brought to its version again");
            }
            healthy = result.is_ok();
            if result.is_err() {
                sleep(RETRY_DELAY).await;
            }
            tokio::select! {
                () = ticks.next() => {}
                () = self.state.wake.notified() => {}
            }
        }
    }

    /// Performs the next steps to bring the engine to a version.
    async fn reconcile(&mut self, target: &Target) -> Result<(), Error> {
        let report = self.engine.report().await?;
        let held = report.loaded_version(&target.model);
        self.state.set_loaded_version(held);
        // The deadline depends on the version that the engine has loaded, so the target is computed again.
        let current = self.state.update_target();
        let target = current.as_ref().unwrap_or(target);
        let staged = self.staged_version(target).await?;
        if held.is_some_and(|held| held >= target.version) || report.busy {
            return Ok(());
        }
        self.fetch_missing(target, &staged).await?;
        if held.is_some() {
            schedule::wait_for_turn(&self.state, target).await;
        }
        self.verify_staged(&staged).await?;
        if !staged.missing().is_empty() {
            self.state.wake.notify_one();
            return Ok(());
        }
        self.load_version(target, &report).await
    }

    /// Returns the record of staged pieces. If there is none yet, it is created from the pieces that the engine has
    /// staged.
    async fn staged_version(&self, target: &Target) -> Result<Rc<StagedVersion>, Error> {
        if let Some(staged) = self.state.staged(&target.model, target.version) {
            return Ok(staged);
        }
        self.exchange.announce(&target.model, target.version);
        let origin = self.state.origin();
        let origin = origin.ok_or_else(|| failed("no origin of weights is configured"))?;
        self.discovery.refresh_view(&self.state).await;
        let reader = ManifestReader {
            state: &self.state,
            origin: &self.origin,
            client: &self.client,
            address: origin.address,
        };
        let manifest = reader.read(target).await?;
        let staged = Rc::new(StagedVersion::new(target, manifest, self.state.clock()));
        self.verify_staged(&staged).await?;
        log::info!(model = target.model.as_str(), version = target.version, missing = staged.missing().len(); "staged pieces verified");
        self.state.set_staged(Some(Rc::clone(&staged)));
        Ok(staged)
    }

    async fn fetch_missing(
        &mut self,
        target: &Target,
        staged: &Rc<StagedVersion>,
    ) -> Result<(), Error> {
        let missing = staged.missing().len();
        if missing == 0 {
            return Ok(());
        }
        let start = self.state.now();
        // An engine without a version serves no requests, so its whole link is available for weights.
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
            target,
        };
        let whole = fetcher.run(staged, &mut self.reports).await;
        let taken_ms = (self.state.now().saturating_sub(start)).as_millis() as u64;
        log::info!(model = target.model.as_str(), version = target.version, missing, whole, taken_ms; "pieces fetched");
        if whole {
            return Ok(());
        }
        // The manifest itself may be wrong: drop it so that the next attempt reads it again.
        self.state.set_staged(None);
        Err(failed("fetch ended after too many corrupt pieces"))
    }

    /// Reads all staged pieces, verifies them and updates the record; pieces that have become corrupt count as missing.
    async fn verify_staged(&self, staged: &StagedVersion) -> Result<(), Error> {
        for index in 0..staged.manifest.digests.len() {
            let bytes = self.engine.read_staged(&staged.model, index).await?;
            let whole = bytes.is_some_and(|bytes| staged.manifest.matches(index, &bytes));
            match (staged.is_staged(index), whole) {
                (true, false) => {
                    self.state.metrics.pieces.get("spoilt").inc();
                    log::warn!(model = staged.model.as_str(), version = staged.version, index; "staged piece has become corrupt");
                    staged.set_held(index, false);
                }
                (false, true) => {
                    self.state.metrics.pieces.get("staged").inc();
                    staged.set_held(index, true);
                }
                (true, true) | (false, false) => {}
            }
        }
        Ok(())
    }

    async fn load_version(&self, target: &Target, report: &Report) -> Result<(), Error> {
        let model = target.model.as_str();
        if report.loaded_version(model).is_some() {
            let for_ms = LOAD_TIMEOUT.as_millis() as u32;
            self.send_notice(target, report, Change::Loading { for_ms });
            sleep(NOTICE_DELAY).await;
        }
        let ordered = self
            .engine
            .load(model, target.version, report.accepted_orders)
            .await?;
        let before = report.loaded_version(model);
        log::info!(model, version = target.version, before:?, orders = report.accepted_orders, ordered:?; "load ordered");
        if ordered == LoadResponse::Conflict {
            sleep(RETRY_DELAY).await;
            return Ok(());
        }
        let start = self.state.now();
        loop {
            sleep(LOAD_POLL_INTERVAL).await;
            let report = self.engine.report().await?;
            let taken = self.state.now().saturating_sub(start);
            let taken_ms = taken.as_millis() as u64;
            if report.loaded_version(model) == Some(target.version) {
                let version = target.version;
                self.state.set_loaded_version(Some(version));
                self.send_notice(target, &report, Change::Holds { version });
                self.state.metrics.loads.inc();
                log::info!(model, version = target.version, taken_ms; "version serves");
                return Ok(());
            }
            if taken >= LOAD_TIMEOUT {
                log::warn!(model, version = target.version, taken_ms; "load timed out");
                return Ok(());
            }
        }
    }
}

impl<E: Engine, O: Origin, S, D> Loader<E, O, S, D> {
    /// Notifies all entries of a change before it appears in the platform's instance list.
    fn send_notice(&self, target: &Target, report: &Report, change: Change) {
        let notice = Notice {
            server: self.state.options.server_address,
            started: report.started_ms,
            model: target.model.clone(),
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
            // Sending is best effort: the instance list and the server's own rejections make up for a lost notice.
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
