//! Retries: which requests are callers' retries, and the budget of those that this entry makes.

use std::{sync::Arc, time::Duration};

use pistachiolug_routing::retry::WindowBudget;

use super::State;

/// Share of the retry budget that is used; the rest covers retries that entries learn of late from each other.
const USED_BUDGET_SHARE: f64 = 0.88;

/// Share of a route's longest observed time limit above which an attempt counts as a first one. The limits of callers
/// differ by up to 15 percent; an attempt that is repeated after a refusal has lost more time.
const FIRST_ATTEMPT_SHARE: f64 = 0.84;

impl State {
    /// Records a caller's time limit and returns whether the request is a first attempt. First attempts carry about the
    /// longest time limit of their route; retries have less time left.
    pub fn record_time_limit(&self, route: &Arc<str>, limit: Duration) -> bool {
        let mut longest_limits = self.longest_limits.borrow_mut();
        let longest_limit = longest_limits.entry(Arc::clone(route)).or_default();
        *longest_limit = limit.max(*longest_limit);
        limit >= longest_limit.mul_f64(FIRST_ATTEMPT_SHARE)
    }

    /// Counts a caller's request, which adds to the retry budget of its service.
    pub fn count_request(&self, service: &Arc<str>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_attempt(now));
    }

    /// Records whether rows that were read contain the entry's own row. Only the first rows that a process reads count.
    ///
    /// If they do, this process replaces one that may have used the entry's part of the slack just before it ended. Until
    /// that is out of the window, only the share of the process's own requests may be spent.
    pub fn record_rows(&self, have_own_row: bool) {
        let is_first = !self.has_read_rows.replace(true);
        if is_first && have_own_row {
            let window = self.options.retry_window;
            self.slack_from.set(self.now() + window);
            log::info!(window_ms = window.as_millis() as u64; "retry slack withheld after a restart");
        }
    }

    /// Takes one retry from the budget of a service; returns `false` if it is used up.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let share = self.options.retry_share * USED_BUDGET_SHARE;
        let slack = if now < self.slack_from.get() {
            0.0
        } else {
            self.options.retry_slack * USED_BUDGET_SHARE / self.peers.borrow().count() as f64
        };
        self.with_budget(service, |budget| budget.try_spend(share, slack, now))
    }

    fn with_budget<T>(&self, service: &Arc<str>, action: impl FnOnce(&mut WindowBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| WindowBudget::new(self.options.retry_window));
        action(budget)
    }
}
