//! What is known of the end of the process.

use std::{sync::Arc, time::Duration};

use super::State;
use crate::{call::Call, permit::Permit, stop};

impl State {
    /// Records that the process has been told to stop and ends at a time of [`State::now`] at the latest.
    pub fn begin_stop(&self, end: Duration) {
        self.stop_end.set(Some(end));
        self.move_deadlines();
    }

    /// Returns a time, or that of the last answers before the process ends if that is earlier.
    pub fn bound_by_stop(&self, time: Duration) -> Duration {
        let end = self.stop_end.get();
        end.map_or(time, |end| time.min(stop::last_answer_at(end)))
    }

    /// Returns whether the process is so near its end that no request can be served any more.
    pub fn is_stop_over(&self) -> bool {
        let now = self.now();
        self.bound_by_stop(Duration::MAX) <= now
    }

    /// Returns the time until which a request may be sent to a server; `None` unless the process has been told to stop.
    pub fn latest_send(&self, call: &Call) -> Option<Duration> {
        let end = self.stop_end.get()?;
        let route = &call.authorized.route;
        let work = self.work.borrow().get(&route.name).copied();
        // Operators expect answers within the target latency.
        let work = work
            .unwrap_or_default()
            .time()
            .unwrap_or(route.target_latency);
        Some(stop::latest_send(end, work, call.deadline))
    }

    /// Records that a server has answered a request, which it got when the permit was given.
    pub(crate) fn record_work(&self, call: &Call, permit: &Permit) {
        let taken = self.now().saturating_sub(permit.choice.chosen_at);
        let mut work = self.work.borrow_mut();
        let route = &call.authorized.route.name;
        work.entry(Arc::clone(route)).or_default().record(taken);
    }
}
