//! Reports of crashes: at once to all agents, and to the key-value service, from where they spread to every process.

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

/// Reports that may wait to be sent.
const QUEUE: usize = 1024;

/// Reports that travel together; a server's death ends all its calls at once.
const BATCH: usize = 256;

/// Wait for the other calls of a server that died.
const GATHER_TIME: Duration = Duration::from_millis(10);

/// Longest time a call's final answer waits until the agents know, so that a resend meets the knowledge.
const PATIENCE: Duration = Duration::from_millis(500);

/// Agents that are told at the same time.
const PARALLEL: usize = 64;

/// Wait before a failed write is tried again.
const RETRY: Duration = Duration::from_secs(1);

/// Attempts of one write; the agents know in any case.
const ATTEMPTS: u32 = 30;

/// Way to report crashes; clones share it.
#[derive(Debug, Clone)]
pub struct Reporter {
    sender: mpsc::Sender<Report>,
}

/// One crash to report.
#[derive(Debug)]
pub struct Report {
    death: Death,
    done: oneshot::Sender<()>,
}

/// Sends reports to the agents and the key-value service.
#[derive(Debug, Clone)]
pub struct Broadcaster<S> {
    /// Name of this instance.
    pub instance: String,
    /// Key-value service.
    pub store: S,
    /// Instances.
    pub view: View,
    /// Way to other processes.
    pub peers: Peers,
}

impl Reporter {
    /// Creates a reporter and the reports that [`Broadcaster::run`] is to send.
    pub fn new() -> (Self, mpsc::Receiver<Report>) {
        let (sender, receiver) = mpsc::channel(QUEUE);
        (Self { sender }, receiver)
    }

    /// Reports a crash and waits a little until the agents know.
    pub async fn report(&self, death: Death) {
        let (done, told) = oneshot::channel();
        if self.sender.try_send(Report { death, done }).is_err() {
            log::warn!(content:% = death.content; "crash not reported, too many wait");
            return;
        }
        // What comes late goes on by itself.
        let _ = timeout(PATIENCE, told).await;
    }
}

impl<S: Store> Broadcaster<S> {
    /// Sends reports until the process stops.
    pub async fn run(self, mut reports: mpsc::Receiver<Report>) {
        let mut batch = Vec::new();
        while let Some(first) = reports.recv().await {
            batch.push(first);
            sleep(GATHER_TIME).await;
            while batch.len() < BATCH
                && let Ok(more) = reports.try_recv()
            {
                batch.push(more);
            }
            let (spreader, reports) = (self.clone(), std::mem::take(&mut batch));
            tokio::spawn(async move { spreader.spread(reports).await });
        }
    }

    async fn spread(&self, reports: Vec<Report>) {
        let deaths: Vec<Death> = reports.iter().map(|report| report.death).collect();
        self.tell(Notice {
            deaths: deaths.clone(),
        })
        .await;
        for report in reports {
            // A call that waits no longer has its answer.
            let _ = report.done.send(());
        }
        for death in deaths {
            self.write(&death).await;
        }
    }

    /// Tells every agent; one that can't be reached learns from the lists.
    async fn tell(&self, notice: Notice) {
        let agents = self.agents();
        stream::iter(agents)
            .for_each_concurrent(PARALLEL, |agent| self.peers.notify_crashes(agent, &notice))
            .await;
    }

    fn agents(&self) -> Vec<SocketAddr> {
        let snapshot = self.view.now();
        let others = snapshot
            .instances
            .iter()
            .filter(|row| row.role == Role::Agent && row.state == State::Live)
            .filter(|row| row.name != self.instance);
        others.map(|row| row.address).collect()
    }

    async fn write(&self, death: &Death) {
        let crash = Crash {
            instance: self.instance.clone(),
            // One death counts once, however many calls with the content it cut.
            call: format!("backend server {:016x}", death.incarnation),
        };
        for _ in 0..ATTEMPTS {
            match suspect::report(&self.store, &death.content, &crash).await {
                Ok(_) => return,
                Err(error) => {
                    log::warn!(content:% = death.content, error:%; "crash not written yet");
                }
            }
            sleep(RETRY).await;
        }
    }
}
