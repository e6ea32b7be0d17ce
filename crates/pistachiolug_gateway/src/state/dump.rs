//! State of an entry for its debug page.

use super::{State, hex};

impl State {
    /// Returns the state for a debug dump, without callers' content.
    pub fn dump(&self) -> serde_json::Value {
        let pool = self.pool.borrow();
        let servers = pool.servers().map(|server| {
            let record = server.record();
            serde_json::json!({
                "id": &*record.id,
                "service": &*record.service,
                "leaving": server.is_leaving(),
                "backoff_ms": server.backoff_left(self.now()).map(|left| left.as_millis() as u64),
                "limit": server.limit(),
                "rate": server.rate(self.now()),
                "cold_ms": server.cold_left(self.now()).map(|left| left.as_millis() as u64),
                "calls": server.own_work().calls,
                "pace": server.pace(self.now()),
            })
        });
        let suspects = self.suspects.borrow();
        let suspects = suspects.iter().map(|(content, crashes)| {
            serde_json::json!({
                "content": content.short().to_string(),
                "crashes": crashes,
            })
        });
        let attribution = self.attribution.borrow();
        let parts = attribution.named().map(|(part, moments)| {
            serde_json::json!({
                "part": hex(part),
                "moments": moments,
                "reruns": attribution.reruns(part),
            })
        });
        let (crashes, crash_parts) = attribution.size();
        let position = self.rows.borrow().position();
        serde_json::json!({
            "era": position.era,
            "revision": position.revision,
            "configuration": self.config().map(|config| config.version()),
            "servers": servers.collect::<Vec<_>>(),
            "entries": self.peers.borrow().count(),
            "open": self.open_count.get(),
            "suspects": suspects.collect::<Vec<_>>(),
            "parts": parts.collect::<Vec<_>>(),
            "crashes": crashes,
            "crash_parts": crash_parts,
        })
    }
}
