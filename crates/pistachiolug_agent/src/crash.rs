//! Reports of crashes to the key-value service, from where they spread to every process.

use std::time::Duration;

use pistachiolug_lists::suspect::{self, Crash};
use pistachiolug_platform::kv::Store;
use pistachiolug_wire::digest::Digest;
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

/// Reports that may wait to be written.
const QUEUE: usize = 256;

/// Longest time a call's final answer waits for the report, so that a resend meets it.
const PATIENCE: Duration = Duration::from_millis(500);

/// Wait before a failed report is tried again.
const RETRY: Duration = Duration::from_secs(1);

/// Attempts of one report; the crash is remembered here in any case.
const ATTEMPTS: u32 = 30;

/// Way to report crashes; clones share it.
#[derive(Debug, Clone)]
pub struct Reporter {
    sender: mpsc::Sender<Report>,
}

/// One crash to report.
#[derive(Debug)]
pub struct Report {
    content: Digest,
    crash: Crash,
    done: oneshot::Sender<()>,
}

impl Reporter {
    /// Creates a reporter and the reports that [`run`] is to write.
    pub fn new() -> (Self, mpsc::Receiver<Report>) {
        let (sender, receiver) = mpsc::channel(QUEUE);
        (Self { sender }, receiver)
    }

    /// Reports a crash and waits a little for its write.
    pub async fn report(&self, content: Digest, crash: Crash) {
        let (done, written) = oneshot::channel();
        let report = Report {
            content,
            crash,
            done,
        };
        if self.sender.try_send(report).is_err() {
            log::warn!(content:%; "crash not reported, too many wait");
            return;
        }
        // A late write goes on by itself.
        let _ = timeout(PATIENCE, written).await;
    }
}

/// Writes reports until the process stops.
pub async fn run<S: Store>(store: S, mut reports: mpsc::Receiver<Report>) {
    while let Some(report) = reports.recv().await {
        let store = store.clone();
        tokio::spawn(async move { write(&store, report).await });
    }
}

async fn write<S: Store>(store: &S, report: Report) {
    for _ in 0..ATTEMPTS {
        match suspect::report(store, &report.content, &report.crash).await {
            Ok(_) => {
                // Nobody waits for a late write.
                let _ = report.done.send(());
                return;
            }
            Err(error) => log::warn!(content:% = report.content, error:%; "crash not reported yet"),
        }
        sleep(RETRY).await;
    }
}
