//! Document that describes an experiment, as JSON with comments.

use std::{fs, io, path::Path};

use jsonc_parser::ParseOptions;
use serde::{Deserialize, Serialize};

use super::fault::TimedFault;
use crate::{load::plan::Stream, rig::deployment::SLOTS};

/// Description of an experiment, as its file has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name; the files of the results are named after it.
    pub name: String,
    /// Seed of the arrival times and contents of the requests.
    pub seed: u64,
    /// Processes to start.
    pub deployment: Deployment,
    /// Streams of requests.
    pub load: Vec<Stream>,
    /// Faults, in order of time.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    /// Ends of calls that are allowed besides complete answers.
    #[serde(default)]
    pub allow: AllowedEnds,
}

/// Size of the deployment and speed of its stand-ins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// Number of agents with model engines.
    pub models: usize,
    /// Number of agents with plain services.
    pub plains: usize,
    /// Number of entries.
    pub entries: usize,
    /// Time to an engine's first token in milliseconds.
    pub first_ms: u64,
    /// Time between an engine's tokens in milliseconds.
    pub gap_ms: u64,
    /// Length of the model's weights in bytes.
    pub weights_bytes: usize,
    /// Rate of the origin's link in bytes per second; 0 means no limit.
    pub origin_rate: u64,
    /// Number of calls that each backend server runs at once.
    pub slots: u32,
    /// Whether callers send to the engines directly, as a baseline without entries and agents.
    pub direct: bool,
}

/// Ends of calls that an experiment allows besides complete answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AllowedEnds {
    /// Errors with the outcome `not-run`.
    pub not_run: bool,
    /// Errors with the outcome `unknown`.
    pub unknown: bool,
    /// Refused connections, and those that end before the answer does, as when an entry is killed.
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
    /// Reads the file of an experiment.
    ///
    /// # Errors
    /// Returns the error of the file, or `InvalidData` for its content.
    pub fn read(path: &Path) -> io::Result<Self> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Parses the text of an experiment.
    ///
    /// # Errors
    /// `InvalidData` with the position of the mistake.
    pub fn parse(text: &str) -> io::Result<Self> {
        jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
    }
}
