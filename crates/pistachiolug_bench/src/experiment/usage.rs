//! Processor time, memory and threads of a process, read from `/proc`.

use std::{fs, io};

use serde::{Deserialize, Serialize};

/// Clock ticks per second, the unit of processor times in `/proc`; Linux fixes it at 100 there.
const TICKS_PER_SECOND: f64 = 100.0;

/// Index of the user time in `/proc/{id}/stat`, among the fields after the command's name; the system time follows it.
const USER_TIME_FIELD: usize = 11;

/// Resources that a process uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// User and system time since the start of the process, in seconds.
    pub processor_s: f64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Number of threads.
    pub threads: u64,
}

impl Usage {
    /// Reads the resources of the process with an id.
    ///
    /// # Errors
    /// Returns the error of the files, such as `NotFound` if the process has ended.
    pub fn of(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> f64 {
            let field = fields.get(index).and_then(|field| field.parse().ok());
            field.unwrap_or(0.0)
        };
        let processor_s = (ticks(USER_TIME_FIELD) + ticks(USER_TIME_FIELD + 1)) / TICKS_PER_SECOND;
        Ok(Self {
            processor_s,
            resident_bytes: status_number(&status, "VmRSS:") * 1024,
            threads: status_number(&status, "Threads:"),
        })
    }
}

/// Returns the number of a line of `/proc/{id}/status`; 0 if there is no such line.
fn status_number(status: &str, name: &str) -> u64 {
    status
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}
