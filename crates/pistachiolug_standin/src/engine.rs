//! Model engine whose answers depend on its weights, so that partial or mixed weights show in the text.

pub mod answer;
pub mod cache;
pub mod control;
pub mod record;
pub mod server;
pub mod slots;
pub mod state;
pub mod stream;
