//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Record with times since its creation; clones share it.
#[derive(Debug, Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file `record.txt` in a folder.
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Returns the time since the creation.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line with the current time, and returns that time.
    pub fn line(&self, text: &str) -> Duration {
        let now = self.now();
        if let Ok(mut file) = self.file.lock() {
            // The record is for readers; the verdict does not depend on it.
            let _ = writeln!(file, "{:9.3} {text}", now.as_secs_f64());
        }
        now
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) -> Duration {
        println!("{text}");
        self.line(text)
    }
}
