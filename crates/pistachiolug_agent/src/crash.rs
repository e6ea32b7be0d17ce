//! Crash reports: sent to all agents at once, and written to the key-value service, which passes them to every process.

use std::{net::SocketAddr, time::Duration};

use futures_util::{StreamExt, stream};
use pistachiolug_lists::suspect::{self, Crash};
use pistachiolug_membership::view::View;
use pistachiolug_platform::kv::Store;
use pistachiolug_wire::{
    crash::{Death, Notice},
    instance::{Role, State},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

use crate::peers::Peers;

/// Largest number of reports that wait to be sent.
const QUEUE_CAPACITY: usize = 1024;

/// Largest number of reports that are sent together; the crash of a server ends all its calls at once.
const MAX_BATCH: usize = 256;

/// Time to wait for the reports of the other calls of a crashed server.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Longest time that a call's last event waits until the agents know of the crash, so that they recognize a resend.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of agents that are notified at the same time.
const MAX_CONCURRENT_NOTICES: usize = 64;

/// Delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Number of attempts to write one crash; the agents have been notified in any case.
const WRITE_ATTEMPTS: u32 = 30;

/// Queues crash reports; clones share the queue.
#[derive(Debug, Clone)]
pub struct Reporter {
    sender: mpsc::Sender<Report>,
}

/// Queued report of the crash of a backend server, for the other agents and the key-value service.
#[derive(Debug)]
pub struct Report {
    death: Death,
    done: oneshot::Sender<()>,
}

/// Sends crash reports to the other agents and to the key-value service.
#[derive(Debug, Clone)]
pub struct Broadcaster<S> {
    /// Name of this instance.
    pub instance: String,
    /// Client of the key-value service.
    pub store: S,
    /// Current instance list.
    pub view: View,
    /// Client for requests to other agents.
    pub peers: Peers,
}

impl Reporter {
    /// Creates a reporter and its queue of reports, which [`Broadcaster::run`] sends.
    pub fn new() -> (Self, mpsc::Receiver<Report>) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Self { sender }, receiver)
    }

    /// Reports a crash and waits for a limited time until the other agents know of it.
    pub async fn report(&self, death: Death) {
        let (done, notified) = oneshot::channel();
        if self.sender.try_send(Report { death, done }).is_err() {
            log::warn!(content:% = death.content; "crash not reported because the queue of reports is full");
            return;
        }
        // After the timeout the report is still sent in the background.
        let _ = timeout(REPORT_TIMEOUT, notified).await;
    }
}

impl<S: Store> Broadcaster<S> {
    /// Sends reports until the process stops.
    pub async fn run(self, mut reports: mpsc::Receiver<Report>) {
        let mut batch = Vec::new();
        while let Some(first) = reports.recv().await {
            batch.push(first);
            sleep(BATCH_DELAY).await;
            while batch.len() < MAX_BATCH
                && let Ok(next) = reports.try_recv()
            {
                batch.push(next);
            }
            let (broadcaster, reports) = (self.clone(), std::mem::take(&mut batch));
            tokio::spawn(async move { broadcaster.broadcast(reports).await });
        }
    }

    async fn broadcast(&self, reports: Vec<Report>) {
        let deaths: Vec<Death> = reports.iter().map(|report| report.death).collect();
        self.notify_agents(Notice {
            deaths: deaths.clone(),
        })
        .await;
        for report in reports {
            // An error means that the call has stopped waiting and has sent its last event.
            let _ = report.done.send(());
        }
        for death in deaths {
            self.write(&death).await;
        }
    }

    /// Notifies all other live agents; one that can't be reached learns of the crashes from the lists.
    async fn notify_agents(&self, notice: Notice) {
        let agents = self.agents();
        stream::iter(agents)
            .for_each_concurrent(MAX_CONCURRENT_NOTICES, |agent| {
                self.peers.notify_crashes(agent, &notice)
            })
            .await;
    }

    fn agents(&self) -> Vec<SocketAddr> {
        let snapshot = self.view.snapshot();
        let other_agents = snapshot
            .instances
            .iter()
            .filter(|instance| instance.role == Role::Agent && instance.state == State::Live)
            .filter(|instance| instance.name != self.instance);
        other_agents.map(|instance| instance.address).collect()
    }

    async fn write(&self, death: &Death) {
        let crash = Crash {
            instance: self.instance.clone(),
            // The incarnation makes one crash count once, however many calls with the content it ended.
            call: format!("backend server {:016x}", death.incarnation),
        };
        for _ in 0..WRITE_ATTEMPTS {
            match suspect::report(&self.store, &death.content, &crash).await {
                Ok(_) => return,
                Err(error) => {
                    log::warn!(content:% = death.content, error:%; "failed to write a crash to the key-value service");
                }
            }
            sleep(WRITE_RETRY_DELAY).await;
        }
    }
}
