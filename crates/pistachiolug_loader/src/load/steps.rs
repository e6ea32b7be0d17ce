//! Orders to the engine, each with the verification that it depends on.
//!
//! A load takes the staged pieces as they are when the engine accepts the order. If all of them can be read within the age
//! that a verification may have then, the engine is ordered to load at once. Otherwise it loads all layers but the first,
//! with which it serves nothing. Their pieces are read after that, however long it takes: what is whole now was whole then.
//! Only the pieces of the first layer have to be verified shortly before the order that completes the version.

use std::{ops::Range, rc::Rc, time::Duration};

use pistachiolug_platform::kv::Store;
use pistachiolug_wire::datagram::Change;
use tokio::time::{sleep, timeout};

use super::{
    BUSY_POLL_INTERVAL, EXCLUSION, LOAD_POLL_INTERVAL, LOAD_TIMEOUT, Loader, MIN_LAYERS,
    RETRY_DELAY,
};
use crate::{
    engine::{Engine, Error, Layers, LoadResponse, Origin, Report},
    layers::{pieces_of_first, pieces_of_others},
    orders,
    row::Decoder,
    staged::StagedVersion,
    state::Target,
};

/// Delay between the notice of a load and the load order. In this time short streams finish and entries send no new
/// requests.
const NOTICE_DELAY: Duration = Duration::from_millis(300);

/// Longest check of a load with which the engine serves; after that it gives up its weights.
const MAX_CHECK_TIME: Duration = Duration::from_millis(1500);

/// Order that is ready to be sent.
#[derive(Debug, Clone, Copy)]
struct Ready {
    layers: Layers,
    /// When the verification of the pieces began, as time since the agent's start; `None` if they are checked after the
    /// load.
    verified_at: Option<Duration>,
}

/// Order that the engine has accepted.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    layers: Layers,
    /// When the answer arrived, as time since the agent's start.
    at: Duration,
    /// Whether the pieces are known to have been whole.
    is_whole: bool,
}

impl<E: Engine, O: Origin, S: Store, D: Decoder> Loader<E, O, S, D> {
    /// Loads a version whose pieces are staged, or as many of its layers as can be loaded now.
    pub(super) async fn verify_and_load(
        &self,
        target: &Target,
        staged: &Rc<StagedVersion>,
    ) -> Result<(), Error> {
        let state = &self.transfer.state;
        let _pause = state.stage.pause().await;
        let (report, held) = self.read_report(target).await?;
        if report.busy || state.orders.borrow().unconfirmed().is_some() {
            state.wake.notify_one();
            return Ok(());
        }
        if held.is_some() {
            self.send_loading(target, &report);
            // The deadline may be another one than when the pieces were fetched.
            let plan = state.plan();
            let deadline = plan.map_or(target.deadline, |plan| plan.first.deadline);
            // Entries that send nothing need no notice.
            if deadline.saturating_sub(state.now()) > EXCLUSION {
                sleep(NOTICE_DELAY).await;
            }
        }
        let ordered = self.verify_and_order(target, staged, &report).await;
        let is_pending = state.orders.borrow().pending().is_some();
        if let Some(version) = held
            && !is_pending
            && !matches!(ordered, Ok(Some(_)))
        {
            self.send_notice(target, &report, Change::Holds { version });
        }
        let Some(accepted) = ordered? else {
            return Ok(());
        };
        if !accepted.is_whole && !self.check_load(target, Ok(Rc::clone(staged))).await? {
            return Ok(());
        }
        if accepted.layers == Layers::All {
            self.wait_for_load(target, accepted.at).await
        } else {
            state.wake.notify_one();
            Ok(())
        }
    }

    /// Makes an engine without a version accept an order, so that it refuses all that were sent before: it loads what is staged
    /// for all layers but the first, with which it serves nothing. The check that follows makes it give them up.
    pub(super) async fn invalidate_orders(
        &self,
        target: &Target,
        report: &Report,
    ) -> Result<(), Error> {
        let ready = Ready {
            layers: Layers::AllButFirst {
                count: target.layers,
            },
            verified_at: None,
        };
        if self.order_load(target, report, ready).await?.is_some() {
            let mut orders = self.transfer.state.orders.borrow_mut();
            orders.accept(target.version, ready.layers, report, false);
        }
        Ok(())
    }

    /// Verifies the staged pieces as far as the load asks for it, and orders the load. Returns `None` if the engine did not
    /// accept.
    async fn verify_and_order(
        &self,
        target: &Target,
        staged: &StagedVersion,
        report: &Report,
    ) -> Result<Option<Accepted>, Error> {
        let state = &self.transfer.state;
        let is_partial = report.partial_version(&target.model).is_some();
        let ready = if is_partial {
            self.verify_first_layer(target, staged).await?
        } else {
            self.verify_all_layers(target, staged).await?
        };
        let Some(ready) = ready else {
            state.wake.notify_one();
            return Ok(None);
        };
        let latest = if is_partial {
            // Another call would add to the age of the verification. An engine that was replaced has accepted fewer orders.
            report.clone()
        } else {
            self.read_report(target).await?.0
        };
        // The engine may have been replaced meanwhile, or may have accepted an earlier order.
        if (latest.started_ms, latest.accepted_orders)
            != (report.started_ms, report.accepted_orders)
        {
            state.wake.notify_one();
            return Ok(None);
        }
        if self.is_too_old(ready) {
            log::warn!(model = target.model.as_str(), version = target.version, limit:? = self.transfer.engine.limit(); "load postponed: its pieces were verified too long ago");
            sleep(RETRY_DELAY).await;
            state.wake.notify_one();
            return Ok(None);
        }
        let Some(at) = self.order_load(target, &latest, ready).await? else {
            return Ok(None);
        };
        let unanswered_at = state.stage.unanswered_at();
        let is_whole = ready
            .verified_at
            .is_some_and(|verified_at| orders::is_whole(verified_at, at, unanswered_at));
        let layers = ready.layers;
        let mut orders = state.orders.borrow_mut();
        orders.accept(target.version, layers, &latest, is_whole);
        Ok(Some(Accepted {
            layers,
            at,
            is_whole,
        }))
    }

    /// Verifies all staged pieces if that can be done shortly before the order. Otherwise all layers but the first are to be
    /// loaded and checked afterwards. Returns `None` if a piece is not whole.
    async fn verify_all_layers(
        &self,
        target: &Target,
        staged: &StagedVersion,
    ) -> Result<Option<Ready>, Error> {
        let pieces = staged.manifest.digests.len();
        let is_divisible = target.layers >= MIN_LAYERS;
        let unverified = Ready {
            layers: Layers::AllButFirst {
                count: target.layers,
            },
            verified_at: None,
        };
        let expected = self.transfer.engine.paced_duration(pieces);
        if is_divisible && expected > orders::MAX_ORDER_AGE {
            return Ok(Some(unverified));
        }
        let Some(verified_at) = self.verify_before_load(staged, 0..pieces).await? else {
            return Ok(None);
        };
        let ready = Ready {
            layers: Layers::All,
            verified_at: Some(verified_at),
        };
        let is_late = is_divisible && self.is_too_old(ready);
        Ok(Some(if is_late { unverified } else { ready }))
    }

    /// Verifies the pieces of the first layer of a version of which the engine holds the others; `None` if one is not whole.
    async fn verify_first_layer(
        &self,
        target: &Target,
        staged: &StagedVersion,
    ) -> Result<Option<Ready>, Error> {
        let pieces = pieces_of_first(staged.manifest.digests.len(), target.layers.max(1));
        let verified_at = self.verify_before_load(staged, pieces).await?;
        Ok(verified_at.map(|verified_at| Ready {
            layers: Layers::All,
            verified_at: Some(verified_at),
        }))
    }

    /// Reads and verifies staged pieces, and returns when that began; `None` if one is not whole.
    async fn verify_before_load(
        &self,
        staged: &StagedVersion,
        pieces: Range<usize>,
    ) -> Result<Option<Duration>, Error> {
        let (state, engine) = (
            &self.transfer.state,
            self.transfer.engine.for_verification(),
        );
        let (start, paced_before) = (state.now(), engine.paced_time());
        let count = pieces.len();
        let mut missing = 0;
        for index in pieces {
            let is_whole = self.transfer.verify_piece(&engine, staged, index).await?;
            missing += usize::from(!is_whole);
        }
        let taken_ms = state.now().saturating_sub(start).as_millis() as u64;
        let paced = engine.paced_time().saturating_sub(paced_before);
        let paced_ms = paced.as_millis() as u64;
        log::info!(model = staged.model.as_str(), version = staged.version, pieces = count, missing, taken_ms, limit:? = engine.limit(), paced_ms; "staged pieces verified before the load");
        Ok((missing == 0).then_some(start))
    }

    /// Returns whether a piece may have turned corrupt too long before the engine accepts the order.
    fn is_too_old(&self, ready: Ready) -> bool {
        let now = self.transfer.state.now();
        ready
            .verified_at
            .is_some_and(|verified_at| now > verified_at + orders::MAX_ORDER_AGE)
    }

    /// Orders the engine to load a version, and returns when it accepted; `None` if it did not.
    async fn order_load(
        &self,
        target: &Target,
        report: &Report,
        ready: Ready,
    ) -> Result<Option<Duration>, Error> {
        let state = &self.transfer.state;
        let model = target.model.as_str();
        let (version, orders, layers) = (target.version, report.accepted_orders, ready.layers);
        let sent_at = state.now();
        let before = state
            .orders
            .borrow_mut()
            .send(version, layers, report, sent_at);
        let ordered = match self
            .transfer
            .engine
            .load(model, version, layers, orders)
            .await
        {
            Ok(ordered) => ordered,
            Err(error) => {
                state.orders.borrow_mut().give_up(state.now());
                log::warn!(model, version, layers:?, orders, error:%; "load order not answered");
                return Err(error);
            }
        };
        let accepted_at = state.now();
        let verified_ms = ready
            .verified_at
            .map(|at| accepted_at.saturating_sub(at).as_millis() as u64);
        log::info!(model, version, layers:?, before:? = report.held_version(model), orders, ordered:?, verified_ms:?; "load ordered");
        if ordered == LoadResponse::Accepted {
            return Ok(Some(accepted_at));
        }
        state.orders.borrow_mut().reject(before);
        sleep(RETRY_DELAY).await;
        Ok(None)
    }

    /// Waits until the engine serves a version that it has been ordered to load.
    async fn wait_for_load(&self, target: &Target, start: Duration) -> Result<(), Error> {
        let state = &self.transfer.state;
        let model = target.model.as_str();
        loop {
            sleep(LOAD_POLL_INTERVAL).await;
            let report = self.transfer.engine.report().await?;
            let taken = state.now().saturating_sub(start);
            let taken_ms = taken.as_millis() as u64;
            // The engine may be another one than the order was meant for, or may have been told to unload.
            if state.orders.borrow().is_news(&report)
                || (!report.busy && report.held_version(model).is_none())
            {
                state.wake.notify_one();
                return Ok(());
            }
            if report.loaded_version(model) == Some(target.version) {
                let version = target.version;
                state.set_loaded_version(Some(version));
                self.send_notice(target, &report, Change::Holds { version });
                state.metrics.loads.inc();
                log::info!(model, version = target.version, taken_ms; "version serves");
                return Ok(());
            }
            if taken >= LOAD_TIMEOUT {
                log::warn!(model, version = target.version, taken_ms; "load timed out");
                return Ok(());
            }
        }
    }

    /// Reads the pieces that the engine has taken, and returns whether they were whole: what is whole now was whole then if
    /// nothing has been written since. Otherwise the engine gives up its weights, so that it rejects requests until it has
    /// loaded again. So it does if it serves and the pieces can't be read in time.
    ///
    /// # Arguments
    /// `staged` is the record of the version's pieces. Writes are paused.
    pub(super) async fn check_load(
        &self,
        target: &Target,
        staged: Result<Rc<StagedVersion>, Error>,
    ) -> Result<bool, Error> {
        let state = &self.transfer.state;
        let Some(unconfirmed) = state.orders.borrow().unconfirmed() else {
            return Ok(false);
        };
        let is_unchanged = state
            .stage
            .written_at()
            .is_none_or(|at| at <= unconfirmed.taken_after);
        let start = state.now();
        let is_whole = match &staged {
            Ok(_) if !is_unchanged => false,
            Ok(staged) if unconfirmed.is_partial => self.check_partial_load(target, staged).await?,
            Ok(staged) => self.check_complete_load(staged).await?,
            Err(error) => {
                log::warn!(model = target.model.as_str(), version = target.version, error:%; "load can't be checked");
                false
            }
        };
        let taken_ms = state.now().saturating_sub(start).as_millis() as u64;
        log::info!(model = target.model.as_str(), version = target.version, is_partial = unconfirmed.is_partial, is_whole, is_unchanged, taken_ms; "load checked");
        if is_whole {
            state.orders.borrow_mut().confirm();
        } else if self.unload(target).await? {
            state.metrics.rejected_loads.inc();
        } else {
            sleep(RETRY_DELAY).await;
        }
        state.wake.notify_one();
        Ok(is_whole)
    }

    /// Returns whether the pieces of all layers but the first are whole. All of them are read, so that all corrupt ones are
    /// known.
    async fn check_partial_load(
        &self,
        target: &Target,
        staged: &StagedVersion,
    ) -> Result<bool, Error> {
        let engine = self.transfer.engine.for_verification();
        let mut is_whole = true;
        for index in pieces_of_others(staged.manifest.digests.len(), target.layers.max(1)) {
            is_whole &= self.transfer.verify_piece(&engine, staged, index).await?;
        }
        Ok(is_whole)
    }

    /// Returns whether all pieces are whole; `false` as soon as one is not, or if they can't be read in time.
    async fn check_complete_load(&self, staged: &StagedVersion) -> Result<bool, Error> {
        let pieces = staged.manifest.digests.len();
        let engine = self.transfer.engine.for_verification();
        if engine.paced_duration(pieces) > MAX_CHECK_TIME {
            return Ok(false);
        }
        let check = async {
            for index in 0..pieces {
                if !self.transfer.verify_piece(&engine, staged, index).await? {
                    return Ok(false);
                }
            }
            Ok(true)
        };
        timeout(MAX_CHECK_TIME, check).await.unwrap_or(Ok(false))
    }

    /// Makes the engine give up its weights, which also settles orders that it may still accept. Returns whether it did.
    pub(super) async fn unload(&self, target: &Target) -> Result<bool, Error> {
        let (state, engine) = (&self.transfer.state, &self.transfer.engine);
        let model = target.model.as_str();
        let mut report = engine.report().await?;
        self.send_loading(target, &report);
        while report.busy {
            sleep(BUSY_POLL_INTERVAL).await;
            report = engine.report().await?;
        }
        let held = report.held_version(model);
        let version = held.unwrap_or(target.version);
        let ordered = engine
            .unload(model, version, report.accepted_orders)
            .await?;
        log::warn!(model, version, orders = report.accepted_orders, ordered:?; "unload ordered");
        match ordered {
            LoadResponse::Accepted => {
                state.orders.borrow_mut().unload(&report);
                state.set_loaded_version(None);
            }
            LoadResponse::Rejected => {
                // An engine that can't be unloaded must not be kept from newer versions.
                let mut orders = state.orders.borrow_mut();
                orders.confirm();
                orders.forget_pending();
            }
            LoadResponse::InEffect | LoadResponse::Conflict => {}
        }
        Ok(ordered == LoadResponse::Accepted)
    }
}
