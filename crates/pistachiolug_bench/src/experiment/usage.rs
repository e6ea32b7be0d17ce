//! Processor time, memory and traffic of a process, read from the kernel's process files.

use std::{fs, io};

use serde::{Deserialize, Serialize};

/// Clock ticks a second of the process files on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Field of `/proc/{id}/stat` after the command's name that holds the user time in ticks.
const USER_FIELD: usize = 11;

/// Resources that a process has used since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time in seconds.
    pub processor_s: f64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Number of threads.
    pub threads: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    /// Returns the error of the file, as for a process that has ended.
    pub fn of(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> f64 {
            let field = fields.get(index).and_then(|field| field.parse().ok());
            field.unwrap_or(0.0)
        };
        let processor_s = (ticks(USER_FIELD) + ticks(USER_FIELD + 1)) / TICKS_PER_SECOND;
        Ok(Self {
            processor_s,
            resident_bytes: line(&status, "VmRSS:") * 1024,
            threads: line(&status, "Threads:"),
        })
    }
}

fn line(status: &str, name: &str) -> u64 {
    status
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}
