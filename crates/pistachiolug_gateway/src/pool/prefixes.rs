//! Prompt prefixes that servers may hold: how much sooner they answer, and what measured times say of that.

use std::{sync::Arc, time::Duration};

use rand::{Rng, RngExt};

use super::{Candidate, Choice, Pool, Requirements, Server};
use crate::{
    config::Engine,
    prefix_cache::{Evidence, Expectation, Match, PROBE_INTERVAL, Phase, Verdict},
};

impl Server {
    /// Returns the factor by which its first events arrive later than expected; at least 1.0.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns the part of the request's prompt that the server may hold.
    fn find_prefix(&self, requirements: &Requirements, range: u64, now: Duration) -> Match {
        let since = self.models_changed_at;
        self.holdings.find(&requirements.prompt, since, range, now)
    }
}

impl Pool {
    /// Returns what is known of the prefixes at the servers of a service; `None` before the first request with a prompt that
    /// shares parts.
    pub fn prefix_evidence(&self, service: &str) -> Option<&Evidence> {
        self.evidence.get(service)
    }

    /// Returns the part of a request's prompt that a server may hold.
    pub(super) fn find_held(
        &self,
        server: &Server,
        requirements: &Requirements,
        now: Duration,
    ) -> Match {
        let evidence = self.evidence.get(&requirements.service);
        let range = evidence.map_or(0, Evidence::range);
        server.find_prefix(requirements, range, now)
    }

    /// Sets the savings of the candidates, in the order of `servers`, for a request whose prompt they may hold in part.
    pub(super) fn weigh_prefixes(
        &self,
        servers: &[&Server],
        candidates: &mut [Candidate],
        requirements: &Requirements,
        engine: Option<&Engine>,
        now: Duration,
        random: &mut impl Rng,
    ) {
        let Some(engine) = engine.filter(|_| !requirements.prompt.is_empty()) else {
            return;
        };
        let Some(evidence) = self.evidence.get(&requirements.service) else {
            return;
        };
        let is_test = match evidence.phase(now) {
            Phase::Resting(_) => return,
            Phase::Weighing => false,
            Phase::Testing => true,
        };
        for (server, candidate) in servers.iter().zip(candidates.iter_mut()) {
            let held = server.find_prefix(requirements, evidence.range(), now);
            let held_ms = f64::from(held.tokens) / engine.prompt_tokens_per_ms;
            candidate.saving_ms = if is_test {
                Evidence::probe_saving_ms(held_ms)
            } else {
                evidence.share() * held_ms * server.slowdown
            };
        }
        let has_saving = candidates.iter().any(|candidate| candidate.saving_ms > 0.0);
        if is_test && has_saving && !random.random_ratio(1, PROBE_INTERVAL) {
            for candidate in candidates {
                candidate.saving_ms = 0.0;
            }
        }
    }

    /// Returns what is expected of a prefix of the request's prompt at the chosen server; `None` if prefixes are not
    /// considered.
    pub fn expect_prefix(
        &self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        choice: &Choice,
    ) -> Option<Expectation> {
        let engine = engine.filter(|_| !requirements.prompt.is_empty())?;
        let server = self.servers.get(&choice.record.id)?;
        let now = choice.chosen_at;
        let unknown = Evidence::default();
        let evidence = self.evidence.get(&requirements.service);
        let evidence = evidence.unwrap_or(&unknown);
        if let Phase::Resting(_) = evidence.phase(now) {
            return None;
        }
        let held = server.find_prefix(requirements, evidence.range(), now);
        let held_ms = f64::from(held.tokens) / engine.prompt_tokens_per_ms;
        let prompt_tokens = requirements.prompt_tokens;
        Some(Expectation {
            prompt: requirements.prompt.clone(),
            held,
            held_ms,
            prompt_ms: f64::from(prompt_tokens) / engine.prompt_tokens_per_ms,
            wait_ms: choice.expected_wait_ms / server.slowdown,
            slowdown: server.slowdown,
            saving_ms: evidence.share() * held_ms * server.slowdown,
        })
    }

    /// Records the time to the first event of an answer, from which on the server holds the prompt, if it keeps any. Returns
    /// what the time says of the expected saving.
    pub fn record_prefix_time(
        &mut self,
        service: &Arc<str>,
        choice: &Choice,
        expectation: &Expectation,
        taken_ms: f64,
        now: Duration,
    ) -> Verdict {
        let evidence = self.evidence.entry(Arc::clone(service)).or_default();
        if let Phase::Resting(_) = evidence.phase(now) {
            return Verdict::default();
        }
        let verdict = evidence.record(expectation, taken_ms, now);
        if let Phase::Resting(_) = evidence.phase(now) {
            let servers = self.servers.values_mut();
            for server in servers.filter(|server| server.record.service == *service) {
                server.holdings.clear();
            }
            return verdict;
        }
        let server = self.servers.get_mut(&choice.record.id);
        if let Some(server) = server.filter(|server| server.is_incarnation(&choice.record)) {
            let held_tokens = expectation.held.tokens;
            server
                .holdings
                .record(&expectation.prompt, held_tokens, choice.chosen_at);
        }
        verdict
    }
}
