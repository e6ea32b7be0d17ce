//! Samples of the servers' paces, and the paces that other entries report.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{Choice, Pool};
use crate::{
    config::Engine,
    pace::{self, Prediction},
    server::hash_id,
};

impl Pool {
    /// Records events of a stream, which an engine sent in `passes` passes.
    ///
    /// # Arguments
    /// `gap` is the time since the stream's last events; `None` for the first ones.
    pub fn record_events(
        &mut self,
        id: &str,
        engine: &Engine,
        gap: Option<Duration>,
        passes: u64,
        now: Duration,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            let prediction = Prediction::new(engine, server.open_calls());
            let unread = server.unread();
            match gap {
                Some(gap) => {
                    let pace = &mut server.pace;
                    pace.record_events(gap, passes, prediction, unread, now);
                }
                None => server.pace.begin_stream(prediction, unread, now),
            }
        }
    }

    /// Records that a stream has ended of which events had arrived.
    pub fn end_stream(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.pace.end_stream();
        }
    }

    /// Records the time of a plain service's answer.
    pub fn record_answer_time(&mut self, choice: &Choice, taken: Duration, now: Duration) {
        if let Some(server) = self.servers.get_mut(&choice.record.id) {
            let load = f64::from(choice.calls) / f64::from(choice.record.slots.max(1));
            server.pace.record_answer(taken, load, now);
        }
    }

    /// Replaces the paces that other entries report, by hashed server id.
    pub fn set_peer_paces(&mut self, paces: &FxHashMap<u32, f64>) {
        for server in self.servers.values_mut() {
            let pace = paces.get(&hash_id(&server.record.id));
            server.peer_pace = pace.copied().unwrap_or(1.0);
        }
    }

    /// Returns the paces for the beacon by hashed server id, by this entry's samples, without servers near their usual pace.
    pub fn own_paces(&self, now: Duration) -> Vec<(u32, u8)> {
        let servers = self.servers.values();
        let paces = servers.filter_map(|server| {
            let units = pace::encode(server.pace.own(now))?;
            Some((hash_id(&server.record.id), units))
        });
        paces.collect()
    }

    /// Returns the number of servers that other entries would be told of as slow, by this entry's samples and theirs.
    pub fn count_slow(&self, now: Duration) -> usize {
        let paces = self.servers.values().map(|server| server.pace(now));
        paces.filter(|pace| pace::encode(*pace).is_some()).count()
    }
}
