//! Prompt prefixes that servers may hold: expectations of requests, and what became of them.

use std::sync::Arc;

use super::{State, find_engine};
use crate::{
    metrics::{EXPECTED, WRONG},
    pool::{Choice, Pool, Requirements},
    prefix_cache::{Evidence, Expectation},
};

impl State {
    /// Returns what is expected of a prefix at the chosen server; `None` if prefixes are not considered for the request.
    pub(super) fn expect_prefix(
        &self,
        pool: &Pool,
        requirements: &Requirements,
        choice: &Choice,
    ) -> Option<Expectation> {
        if requirements.prompt.is_empty() {
            return None;
        }
        let config = self.config()?;
        let engine = find_engine(&config, &requirements.service);
        pool.expect_prefix(requirements, engine, choice)
    }

    /// Records the time in milliseconds to the first event of a request with a prompt that shares parts.
    pub(crate) fn record_prefix_time(
        &self,
        service: &Arc<str>,
        choice: &Choice,
        expectation: &Expectation,
        taken_ms: f64,
    ) {
        let now = self.now();
        let (verdict, phase, share) = self.with_pool(|pool| {
            let verdict = pool.record_prefix_time(service, choice, expectation, taken_ms, now);
            let evidence = pool.prefix_evidence(service);
            let phase = evidence.map(|evidence| evidence.phase(now).as_str());
            (verdict, phase, evidence.map_or(0.0, Evidence::share))
        });
        let counters = &self.metrics.prefix_tokens;
        counters
            .get(EXPECTED)
            .inc_by(verdict.expected_tokens.into());
        counters.get(WRONG).inc_by(verdict.wrong_tokens.into());
        if verdict.is_phase_changed {
            log::info!(service = &**service, phase:?, share; "weighing of prompt prefixes changed");
        }
    }
}
