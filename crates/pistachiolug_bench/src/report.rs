//! Reports of runs: JSON, Markdown and plots.

pub mod compare;
pub mod files;
pub mod markdown;
pub mod plot;
