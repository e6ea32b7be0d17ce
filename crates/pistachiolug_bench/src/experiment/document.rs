//! Description of an experiment, JSON with comments.

use std::{fs, io, path::Path};

use jsonc_parser::ParseOptions;
use serde::{Deserialize, Serialize};

use super::fault::TimedFault;
use crate::{load::plan::Stream, rig::deployment::SLOTS};

/// Experiment as written in its file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name, which names the files of its results.
    pub name: String,
    /// Seed of the arrivals and contents.
    pub seed: u64,
    /// Processes.
    pub deployment: Deployment,
    /// Streams of requests.
    pub load: Vec<Stream>,
    /// Faults in order of time.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    /// Ends that callers may see besides whole answers.
    #[serde(default)]
    pub allow: AllowedEnds,
}

/// Sizes of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// Agents with model engines.
    pub models: usize,
    /// Agents with plain services.
    pub plains: usize,
    /// Entries.
    pub entries: usize,
    /// Time to an engine's first token in milliseconds.
    pub first_ms: u64,
    /// Time between an engine's tokens in milliseconds.
    pub gap_ms: u64,
    /// Bytes of the model's weights.
    pub weights_bytes: usize,
    /// Bytes a second of the origin's link; 0 means no limit.
    pub origin_rate: u64,
    /// Calls that each backend server runs at once.
    pub slots: u32,
    /// Whether callers go straight to the engines, as a baseline without the system.
    pub direct: bool,
}

/// Ends that an experiment allows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AllowedEnds {
    /// Refusals with the outcome `not-run`.
    pub not_run: bool,
    /// Answers given up with the outcome `unknown`.
    pub unknown: bool,
    /// Connections that end early, because their entry is killed.
    pub cut: bool,
}

impl Default for Deployment {
    fn default() -> Self {
        Self {
            models: 3,
            plains: 1,
            entries: 2,
            first_ms: 20,
            gap_ms: 5,
            weights_bytes: 1 << 20,
            origin_rate: 0,
            slots: SLOTS,
            direct: false,
        }
    }
}

impl Document {
    /// Reads an experiment's file.
    ///
    /// # Errors
    /// Returns the error of the file or of its content.
    pub fn read(path: &Path) -> io::Result<Self> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Reads an experiment's text.
    ///
    /// # Errors
    /// `InvalidData` with the place of what is wrong.
    pub fn parse(text: &str) -> io::Result<Self> {
        jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
    }
}
