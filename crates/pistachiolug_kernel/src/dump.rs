//! State dump of a process: one JSON object with a part from each service.

use std::sync::{Arc, Mutex, PoisonError};

use pistachiolug_http::traffic;
use serde_json::{Map, Value, json};

/// Renders the current state of one service.
type Part = Box<dyn Fn() -> Value + Send + Sync>;

/// Parts of a process's state dump; clones share them.
#[derive(Clone, Default)]
pub struct Dump {
    parts: Arc<Mutex<Vec<(&'static str, Part)>>>,
}

impl std::fmt::Debug for Dump {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Dump")
    }
}

impl Dump {
    /// Adds a part, which must contain no secret and no content of a caller's request.
    ///
    /// `part` is called for each dump; `name` is the field's name in the dump.
    pub fn add<F>(&self, name: &'static str, part: F)
    where
        F: Fn() -> Value + Send + Sync + 'static,
    {
        let mut parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        parts.push((name, Box::new(part)));
    }

    /// Renders all parts as one JSON object, with a field for each part.
    pub fn render(&self) -> Value {
        let parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        let fields: Map<String, Value> = parts
            .iter()
            .map(|(name, part)| ((*name).to_owned(), part()))
            .collect();
        Value::Object(fields)
    }
}

/// Renders the totals of the process's control traffic as a part of the dump.
pub fn render_traffic() -> Value {
    let total = traffic::total();
    json!({ "sent": total.sent, "received": total.received, "messages": total.messages })
}
