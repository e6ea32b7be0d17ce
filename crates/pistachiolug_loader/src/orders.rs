//! What an agent knows of the load orders of its engine, without any I/O.
//!
//! An engine takes the staged pieces as they are when it accepts an order, and may accept one seconds after its sender
//! has given up waiting for the answer. Until it is known that it can't, the pieces of that version have to stay staged.

use std::time::Duration;

use crate::{
    engine::{Layers, Report},
    predecessor,
};

/// Time from the verification of the staged pieces to the acceptance of an order in which no piece can have turned
/// corrupt for so long that it must not be loaded: three seconds, less a margin for the two machines' clocks.
pub const MAX_VERIFICATION_AGE: Duration = Duration::from_millis(2900);

/// Largest age of the verification at which an order is sent. What remains is for the engine's answer.
pub const MAX_ORDER_AGE: Duration = Duration::from_secs(2);

/// Time after which an unanswered order or write is no longer carried out. Engines were seen to deal with an order 10 s
/// after it was sent.
const MAX_DELAY: Duration = Duration::from_secs(15);

/// Time for which the missing pieces of a version are fetched again before an unanswered order for it is revoked.
const REPAIR_TIME: Duration = Duration::from_secs(2);

/// Time for which an order for a whole version is repeated before it is revoked in favour of another version.
const FINISH_TIME: Duration = Duration::from_secs(6);

/// Order that the engine may still accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pending {
    /// Version that it loads.
    pub version: u64,
    /// Layers that it loads.
    pub layers: Layers,
    /// Number of accepted orders that it named.
    pub accepted_orders: u64,
    /// When the first order for the version was sent that may still be accepted, as time since the agent's start.
    pub first_sent_at: Duration,
    /// When the agent gave up waiting for the answer to the last one.
    pub given_up_at: Duration,
}

/// Load whose pieces may not have been whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unconfirmed {
    /// Version that is loaded; `None` while the engine loads one that this agent has not ordered.
    pub version: Option<u64>,
    /// Whether the engine has loaded only some layers, so that it serves nothing.
    pub is_partial: bool,
    /// When the engine was last known not to have taken the pieces, as time since the agent's start.
    pub taken_after: Duration,
    /// Whether the engine had accepted its order before the agent's first report.
    pub is_inherited: bool,
}

/// Order of the agent's predecessor that the engine may still accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Inherited {
    /// The staged pieces have not been inspected.
    NotInspected,
    /// The staged pieces belong to no known version, so that the order may be for them.
    Unidentified,
    /// There is none, or it is the pending one.
    Settled,
}

/// Load orders of an engine.
///
/// A load that this process has not seen taken from whole pieces is unconfirmed until the pieces show that it was whole.
/// Pieces of another version are staged only while no load is unconfirmed and no order for the staged pieces can be accepted
/// any more, whichever process has sent it. So pieces of a newer version beside those of the loaded one show that the load
/// was whole.
#[derive(Debug)]
pub struct Orders {
    /// Start of the engine as Unix time in milliseconds, and the number of orders that it is known to have accepted since;
    /// `None` before the first report.
    known: Option<(u64, u64)>,
    /// When a report was last asked for that showed nothing new, as time since the agent's start.
    known_at: Duration,
    /// Whether this agent has sent an order.
    has_sent: bool,
    inherited: Inherited,
    /// Time since the agent's start after which no order or write of a predecessor is carried out.
    inherited_until: Duration,
    pending: Option<Pending>,
    unconfirmed: Option<Unconfirmed>,
    /// Version of which the engine holds all layers but the first, taken from whole pieces.
    partial: Option<u64>,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            known: None,
            known_at: Duration::ZERO,
            has_sent: false,
            inherited: Inherited::NotInspected,
            inherited_until: MAX_DELAY,
            pending: None,
            unconfirmed: None,
            partial: None,
        }
    }
}

impl Orders {
    /// Returns whether a report shows orders, or an engine, that the agent does not know.
    pub fn is_news(&self, report: &Report) -> bool {
        self.known
            .is_some_and(|known| known != (report.started_ms, report.accepted_orders))
    }

    /// Records the engine's report. The load of an order that this agent does not know to have been accepted is
    /// unconfirmed. An engine that has accepted no order holds what it was started with.
    ///
    /// # Arguments
    /// `asked_at` is when the report was asked for, as time since the agent's start.
    pub fn observe(&mut self, model: &str, report: &Report, asked_at: Duration) {
        let held = report.held_version(model);
        let has_loaded = report.accepted_orders > 0 && (report.busy || held.is_some());
        if self.known.is_none() {
            // Layers with which the engine serves nothing are given up.
            self.unconfirmed = (has_loaded && !report.is_partial).then_some(Unconfirmed {
                version: held.filter(|_| !report.busy),
                is_partial: false,
                taken_after: Duration::ZERO,
                is_inherited: true,
            });
            self.known_at = asked_at;
        } else if self.is_news(report) {
            // Orders before name another number of accepted orders, or are for another engine.
            self.inherited = Inherited::Settled;
            let pending = self.pending.take();
            let ordered = pending.map(|pending| pending.version);
            let version = if report.busy { ordered } else { held };
            // Missing layers may be loaded beside those that the engine holds.
            let is_all = pending.is_some_and(|pending| pending.layers == Layers::All);
            self.unconfirmed = has_loaded.then_some(Unconfirmed {
                version,
                is_partial: report.is_partial && !is_all,
                taken_after: self.known_at,
                is_inherited: false,
            });
            self.partial = None;
        } else {
            self.known_at = asked_at;
        }
        if !report.busy {
            // The engine may have been restarted, or may have given up its weights.
            self.unconfirmed = self
                .unconfirmed
                .filter(|_| held.is_some())
                .map(|unconfirmed| Unconfirmed {
                    version: held,
                    is_partial: unconfirmed.is_partial && report.is_partial,
                    ..unconfirmed
                });
            self.partial = self
                .partial
                .filter(|version| report.partial_version(model) == Some(*version));
        }
        self.known = Some((report.started_ms, report.accepted_orders));
        let is_over = |pending: &Pending| asked_at >= pending.given_up_at + MAX_DELAY;
        self.pending = self.pending.filter(|pending| !is_over(pending));
        if asked_at >= self.inherited_until {
            self.inherited = Inherited::Settled;
        }
    }

    /// Records that the engine did not answer. One that stands still carries out later what it has received before.
    pub fn record_silence(&mut self, now: Duration) {
        if now < self.inherited_until {
            self.inherited_until = now + MAX_DELAY;
        }
        if let Some(pending) = &mut self.pending {
            pending.given_up_at = pending.given_up_at.max(now);
        }
    }

    /// Records that an order is about to be sent, and returns the one that was pending before.
    ///
    /// # Arguments
    /// `report` is the one that the order is based on.
    pub fn send(
        &mut self,
        version: u64,
        layers: Layers,
        report: &Report,
        now: Duration,
    ) -> Option<Pending> {
        self.has_sent = true;
        let before = self.pending;
        let repeated = before.filter(|before| before.version == version);
        self.pending = Some(Pending {
            version,
            layers,
            accepted_orders: report.accepted_orders,
            first_sent_at: repeated.map_or(now, |before| before.first_sent_at),
            given_up_at: now,
        });
        before
    }

    /// Records that the agent no longer waits for the answer to the order that was sent last.
    pub fn give_up(&mut self, now: Duration) {
        if let Some(pending) = &mut self.pending {
            pending.given_up_at = now;
        }
    }

    /// Records which order of a predecessor the engine may still accept, as the staged pieces show.
    pub fn inherit(&mut self, order: predecessor::Order, now: Duration) {
        if self.inherited != Inherited::NotInspected {
            return;
        }
        self.inherited = match order {
            predecessor::Order::Unidentified => Inherited::Unidentified,
            predecessor::Order::None | predecessor::Order::For(_) => Inherited::Settled,
        };
        if let predecessor::Order::For(version) = order {
            self.adopt(version, now);
        }
    }

    /// Returns whether it is still to be found out which order of a predecessor the engine may accept.
    pub fn must_inspect(&self) -> bool {
        self.inherited == Inherited::NotInspected
    }

    /// Returns whether the engine may still accept an order of a predecessor for the staged pieces, whose version is not
    /// known.
    pub fn is_unidentified(&self) -> bool {
        self.inherited == Inherited::Unidentified
    }

    /// Records that all pieces of a version that the engine does not hold were staged when the agent started: a predecessor
    /// of this agent may have ordered it shortly before.
    pub fn adopt(&mut self, version: u64, now: Duration) {
        let Some((_, accepted_orders)) = self.known else {
            return;
        };
        if self.has_sent || self.pending.is_some() || now >= self.inherited_until {
            return;
        }
        self.inherited = Inherited::Settled;
        self.pending = Some(Pending {
            version,
            layers: Layers::All,
            accepted_orders,
            first_sent_at: now,
            given_up_at: now,
        });
    }

    /// Returns whether the engine may still accept an order without an answer, of this agent or of a predecessor.
    ///
    /// # Arguments
    /// `now` is the time since the agent's start.
    pub fn may_accept(&self, now: Duration) -> bool {
        self.pending.is_some() || now < self.inherited_until
    }

    /// Records that the engine has answered that it accepts the order.
    ///
    /// # Arguments
    /// `layers` are those of the order. `is_whole` is whether the pieces are known to have been whole when it was accepted.
    pub fn accept(&mut self, version: u64, layers: Layers, report: &Report, is_whole: bool) {
        self.known = Some((report.started_ms, report.accepted_orders + 1));
        self.inherited = Inherited::Settled;
        self.pending = None;
        self.unconfirmed = (!is_whole).then_some(Unconfirmed {
            version: Some(version),
            is_partial: layers != Layers::All,
            taken_after: self.known_at,
            is_inherited: false,
        });
    }

    /// Records that the engine will not carry out the order that was sent last.
    ///
    /// # Arguments
    /// `before` is the order that was pending when it was sent.
    pub fn reject(&mut self, before: Option<Pending>) {
        self.pending = before;
    }

    /// Records that the engine has given up its version.
    pub fn unload(&mut self, report: &Report) {
        self.known = Some((report.started_ms, report.accepted_orders + 1));
        self.inherited = Inherited::Settled;
        self.pending = None;
        self.unconfirmed = None;
        self.partial = None;
    }

    /// Records that the pieces that the engine took were whole, or that nothing can be done if they were not.
    pub fn confirm(&mut self) {
        let partial = self.unconfirmed.take().filter(|load| load.is_partial);
        self.partial = partial.and_then(|load| load.version);
    }

    /// Returns the version of which the engine holds all layers but the first, taken from whole pieces.
    pub fn partial(&self) -> Option<u64> {
        self.partial
    }

    /// Records that the order can't be settled.
    pub fn forget_pending(&mut self) {
        self.inherited = Inherited::Settled;
        self.pending = None;
    }

    /// Returns the order that the engine may still accept.
    pub fn pending(&self) -> Option<Pending> {
        self.pending
    }

    /// Returns the load whose pieces may not have been whole.
    pub fn unconfirmed(&self) -> Option<Unconfirmed> {
        self.unconfirmed
    }

    /// Returns the version that has to be loaded before another one is staged.
    ///
    /// # Arguments
    /// `is_whole` tells whether all pieces of a version are staged.
    pub fn must_finish(&self, now: Duration, is_whole: impl Fn(u64) -> bool) -> Option<u64> {
        let pending = self.pending?;
        let time = if is_whole(pending.version) {
            FINISH_TIME
        } else {
            REPAIR_TIME
        };
        (now < pending.first_sent_at + time).then_some(pending.version)
    }

    /// Returns whether pieces of a version may be staged. None may be while those have to be checked that the engine took, or
    /// while an order of a predecessor may be accepted of which the version is not known.
    pub fn may_stage(&self, version: u64) -> bool {
        self.unconfirmed.is_none()
            && !self.must_settle(version)
            && self.inherited == Inherited::Settled
    }

    /// Returns whether an order without an answer has to be settled before a version is staged.
    pub fn must_settle(&self, version: u64) -> bool {
        self.pending
            .is_some_and(|pending| pending.version != version)
    }
}

/// Returns whether the pieces that an engine took are known to have been whole.
///
/// # Arguments
/// `verified_at` is when their verification began, `accepted_at` when the engine's answer arrived, and `unanswered_at` when a
/// write of a piece was last left without an answer. All are times since the agent's start.
pub fn is_whole(
    verified_at: Duration,
    accepted_at: Duration,
    unanswered_at: Option<Duration>,
) -> bool {
    let is_recent = accepted_at <= verified_at + MAX_VERIFICATION_AGE;
    let is_settled = unanswered_at.is_none_or(|at| accepted_at >= at + MAX_DELAY);
    is_recent && is_settled
}
