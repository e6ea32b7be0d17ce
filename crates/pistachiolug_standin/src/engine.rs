//! Model engine whose answers depend on its weights, so that partial or mixed weights show in the text.

pub mod answer;
pub mod face;
pub mod state;
