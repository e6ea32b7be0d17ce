//! Reports of runs: JSON lines, Markdown and plots.

pub mod compare;
pub mod files;
pub mod markdown;
pub mod plot;
