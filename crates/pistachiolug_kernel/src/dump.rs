//! State dumps that each service adds its part to.

use std::sync::{Arc, Mutex, PoisonError};

use pistachiolug_http::traffic;
use serde_json::{Map, Value, json};

type Part = Box<dyn Fn() -> Value + Send + Sync>;

/// Collects the parts of a process's state; clones share them.
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
    /// Adds a part; it must hold no secret and no caller's content.
    pub fn add<F>(&self, name: &'static str, part: F)
    where
        F: Fn() -> Value + Send + Sync + 'static,
    {
        let mut parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        parts.push((name, Box::new(part)));
    }

    /// Renders all parts as one JSON object.
    pub fn render(&self) -> Value {
        let parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        let fields: Map<String, Value> = parts
            .iter()
            .map(|(name, part)| ((*name).to_owned(), part()))
            .collect();
        Value::Object(fields)
    }
}

/// Renders the process's control traffic, for a part of the dump.
pub fn render_traffic() -> Value {
    let total = traffic::total();
    json!({ "sent": total.sent, "received": total.received, "messages": total.messages })
}
