//! Stand-in of a model engine. Its answers depend on its weights, so that partial or mixed weights change the text.

pub mod answer;
pub mod cache;
pub mod control;
pub mod record;
pub mod server;
pub mod slots;
pub mod state;
pub mod stream;
