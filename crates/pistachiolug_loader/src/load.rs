//! Control loop that brings the engine to the required version.

mod inspect;
mod steps;

use std::{rc::Rc, time::Duration};

use pistachiolug_kernel::timer::Ticks;
use pistachiolug_platform::kv::Store;
use pistachiolug_wire::datagram::{self, Change, Datagram, Notice};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    ahead,
    discovery::Discovery,
    engine::{Engine, Error, Origin, Report},
    pacing,
    row::Decoder,
    schedule,
    staged::StagedVersion,
    state::Target,
    transfer::Transfer,
};

/// Interval between two reads of the engine's report during a load.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a load, after which the engine's state is evaluated again. Running requests end within their deadlines.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval between two reads of the report of a busy engine that must not serve what it loads without a check.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fewest layers of a model that can be loaded in two parts.
const MIN_LAYERS: usize = 2;

/// Time before the deadline of a version from which entries send no requests to engines without it.
const EXCLUSION: Duration = Duration::from_secs(1);

/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Next step that brings the engine to a version.
#[derive(Debug)]
enum Step {
    /// There is nothing to order.
    Wait,
    /// The engine is loading a version that this agent has not ordered.
    WaitForLoad,
    /// The engine has loaded this version from pieces that may not have been whole.
    Check(Target),
    /// The same, by an order from before the agent's start.
    CheckInherited(Target),
    /// The engine may still accept an order for another version, whose pieces can't be had any more, or holds some layers
    /// that are not known to be whole or not of use.
    Unload(Target),
    /// The engine holds nothing that it could give up, and may still accept an order of a predecessor for pieces of an unknown
    /// version.
    Settle(Target, Report),
    /// All pieces of the version are staged, and it is the engine's turn to load.
    Load(Target, Rc<StagedVersion>),
}

/// Loader of one engine.
#[derive(Debug)]
pub struct Loader<E, O, S, D> {
    /// Transfers to the engine that the weights are loaded into.
    pub transfer: Transfer<E, O>,
    /// Source of views of the service's weights and agents.
    pub discovery: Discovery<S, D>,
    /// Socket for notices to entries.
    pub socket: UdpSocket,
}

impl<E: Engine, O: Origin, S: Store, D: Decoder> Loader<E, O, S, D> {
    /// Runs until the process ends. The engine is checked at each tick and whenever a version is announced.
    pub async fn run(self, ticks: Ticks) {
        tokio::join!(ahead::run(self.transfer.clone()), self.keep_version(ticks));
    }

    async fn keep_version(&self, mut ticks: Ticks) {
        let state = &self.transfer.state;
        let mut healthy = true;
        loop {
            let step = if let Some(plan) = state.update_plan() {
                // Nothing is ordered in here, since an order must not be given up before its answer is recorded.
                tokio::select! {
                    step = self.prepare(&plan.first) => step,
                    () = state.wait_until_superseded(&plan.first) => continue,
                    () = self.wait_for_late_acceptance() => continue,
                }
            } else if self.discovery.refresh_view(state).await {
                continue;
            } else {
                Err(failed("the weights of the service are not known"))
            };
            let result = match step {
                Ok(step) => self.perform(step).await,
                Err(error) => Err(error),
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
            self.wait_for_check(&mut ticks).await;
        }
    }

    /// Waits until the engine is checked again: at the next tick, but not sooner than its limit allows, or when something
    /// has changed.
    async fn wait_for_check(&self, ticks: &mut Ticks) {
        let (state, engine) = (&self.transfer.state, &self.transfer.engine);
        let checked_at = state.now();
        let plan = state.plan();
        let is_idle = plan.is_some_and(|plan| state.loaded_version() >= Some(plan.first.version));
        loop {
            tokio::select! {
                () = ticks.next() => {
                    if state.now() >= checked_at + pacing::read_interval(engine.limit(), is_idle) {
                        return;
                    }
                }
                () = state.wake.notified() => return,
            }
        }
    }

    /// Waits until the engine accepts an order that was not answered.
    async fn wait_for_late_acceptance(&self) {
        let state = &self.transfer.state;
        loop {
            sleep(LOAD_POLL_INTERVAL).await;
            if !state.orders.borrow().may_accept(state.now()) {
                continue;
            }
            // The next step reports the failure of a call.
            if let Ok(report) = self.read_engine().await
                && state.orders.borrow().is_news(&report)
            {
                return;
            }
        }
    }

    /// Prepares the next order that brings the engine to a version.
    async fn prepare(&self, target: &Target) -> Result<Step, Error> {
        let (state, transfer) = (&self.transfer.state, &self.transfer);
        let (report, held) = self.read_report(target).await?;
        let unconfirmed = state.orders.borrow().unconfirmed();
        if let Some(unconfirmed) = unconfirmed {
            let target = unconfirmed.version.map(|version| Target {
                version,
                ..target.clone()
            });
            return Ok(match target {
                None => Step::WaitForLoad,
                Some(target) if unconfirmed.is_inherited => Step::CheckInherited(target),
                Some(target) => Step::Check(target),
            });
        }
        if state.orders.borrow().must_inspect() {
            self.inspect_stage(target, held).await?;
        }
        // The plan and the deadline depend on the version that the engine has loaded.
        let plan = state.update_plan();
        let Some(target) = plan.map(|plan| plan.first) else {
            return Ok(Step::Wait);
        };
        if state.orders.borrow().must_settle(target.version) {
            return Ok(Step::Unload(target));
        }
        if state.orders.borrow().is_unidentified()
            && let Some(step) = self.settle_unidentified(&target, &report, held)
        {
            return Ok(step);
        }
        if let Some(version) = report.partial_version(&target.model) {
            let is_known = state.orders.borrow().partial() == Some(version);
            let is_of_use = is_known && version == target.version;
            if !report.busy && !is_of_use {
                return Ok(Step::Unload(Target { version, ..target }));
            }
        }
        if state.should_refresh_view(&target) {
            self.discovery.refresh_view(state).await;
        }
        let staged = transfer.staged_version(&target).await?;
        if held.is_some_and(|held| held >= target.version) || report.busy {
            return Ok(Step::Wait);
        }
        transfer.fetch_missing(&target, &staged).await?;
        transfer.stage_buffered(&staged).await?;
        if !staged.is_whole() {
            return Ok(Step::Wait);
        }
        if held.is_some() {
            schedule::wait_for_turn(state, &target).await;
        }
        if !state.is_first(target.version) {
            return Ok(Step::Wait);
        }
        Ok(Step::Load(target, staged))
    }

    /// Returns the step that makes the engine refuse an order of a predecessor for pieces of an unknown version; `None` if that
    /// has to wait. Pieces are fetched into memory meanwhile.
    fn settle_unidentified(
        &self,
        target: &Target,
        report: &Report,
        held: Option<u64>,
    ) -> Option<Step> {
        if report.busy {
            return None;
        }
        let Some(held) = held else {
            let can_settle = report.models.is_empty() && target.layers >= MIN_LAYERS;
            return can_settle.then(|| Step::Settle(target.clone(), report.clone()));
        };
        // An engine that holds a version serves until entries send it no more requests.
        let left = target.deadline.saturating_sub(self.transfer.state.now());
        (held < target.version && left <= EXCLUSION).then(|| Step::Unload(target.clone()))
    }

    async fn perform(&self, step: Step) -> Result<(), Error> {
        match step {
            Step::Wait => Ok(()),
            Step::WaitForLoad => {
                sleep(BUSY_POLL_INTERVAL).await;
                self.transfer.state.wake.notify_one();
                Ok(())
            }
            Step::Check(target) => {
                let staged = self.transfer.staged_version(&target).await;
                let _pause = self.transfer.state.stage.pause().await;
                self.check_load(&target, staged).await.map(drop)
            }
            Step::CheckInherited(target) => {
                let _pause = self.transfer.state.stage.pause().await;
                self.check_inherited_load(&target).await
            }
            Step::Unload(target) => {
                let result = self.unload(&target).await;
                // Without an answer the next try follows after a delay as well.
                if !result.as_ref().is_ok_and(|is_unloaded| *is_unloaded) {
                    sleep(RETRY_DELAY).await;
                }
                self.transfer.state.wake.notify_one();
                result.map(drop)
            }
            Step::Settle(target, report) => {
                let result = self.invalidate_orders(&target, &report).await;
                self.transfer.state.wake.notify_one();
                result
            }
            Step::Load(target, staged) => {
                self.transfer.state.set_loading(true);
                let result = self.verify_and_load(&target, &staged).await;
                self.transfer.state.set_loading(false);
                result
            }
        }
    }

    /// Reads the engine's report, and returns it with the version that the engine has loaded. One whose pieces may not have
    /// been whole does not count.
    async fn read_report(&self, target: &Target) -> Result<(Report, Option<u64>), Error> {
        let asked_at = self.transfer.state.now();
        let report = self.read_engine().await?;
        let held = self.observe(target, &report, asked_at);
        Ok((report, held))
    }

    /// Reads the engine's report, and records if there is none.
    async fn read_engine(&self) -> Result<Report, Error> {
        let state = &self.transfer.state;
        let report = self.transfer.engine.report().await;
        if report.is_err() {
            state.orders.borrow_mut().record_silence(state.now());
        }
        report
    }

    fn observe(&self, target: &Target, report: &Report, asked_at: Duration) -> Option<u64> {
        let state = &self.transfer.state;
        let (is_news, unconfirmed) = {
            let mut orders = state.orders.borrow_mut();
            let is_news = orders.is_news(report);
            orders.observe(&target.model, report, asked_at);
            (is_news, orders.unconfirmed())
        };
        let loaded = report.loaded_version(&target.model);
        let held = loaded.filter(|_| unconfirmed.is_none());
        let before = state.loaded_version();
        if held != before || is_news {
            log::info!(model = target.model.as_str(), version:? = held, before:?, orders = report.accepted_orders, started_ms = report.started_ms, unconfirmed:?; "engine's version changed");
        }
        state.set_loaded_version(held);
        if let Some(version) = held
            && held != before
        {
            self.send_notice(target, report, Change::Holds { version });
        }
        held
    }
}

impl<E: Engine, O: Origin, S, D> Loader<E, O, S, D> {
    /// Notifies all entries that the engine is about to load.
    fn send_loading(&self, target: &Target, report: &Report) {
        let for_ms = LOAD_TIMEOUT.as_millis() as u32;
        self.send_notice(target, report, Change::Loading { for_ms });
    }

    /// Notifies all entries of a change before it appears in the platform's instance list.
    fn send_notice(&self, target: &Target, report: &Report, change: Change) {
        let notice = Notice {
            server: self.transfer.state.options.server_address,
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
        for entry in self.transfer.state.entries() {
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
