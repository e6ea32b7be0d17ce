//! Datagrams with which agents announce versions and query each other's staged pieces.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use pistachiolug_kernel::inbox::{self, Inbox};
use pistachiolug_weights::{bitmap::Bitmap, order::Key, planner::Have};
use pistachiolug_wire::datagram::{self, AgentDatagram, Datagram};
use rand::seq::IndexedRandom;
use tokio::{net::UdpSocket, sync::mpsc};

use crate::state::State;

/// Size of the receive buffer, and so of the largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Number of agents, and of entries, to which each agent forwards the announcement of a version.
const ANNOUNCE_FANOUT: usize = 3;

/// Reports that may wait for the fetcher; further ones are dropped, since later reports repeat them.
const REPORT_QUEUE_CAPACITY: usize = 256;

/// Time after a query for which its sender is told of further pieces: a few intervals between queries.
const ASKER_TIME: Duration = Duration::from_millis(300);

/// Maximum number of agents that are told of further pieces. Each agent is asked by about as many as it asks.
const MAX_ASKERS: usize = 32;

/// Pieces of a version that another agent reported.
#[derive(Debug)]
pub struct PeerReport {
    /// Key of the reporting agent.
    pub from: Key,
    /// Version that the report is about.
    pub version: u64,
    /// Pieces that the agent has.
    pub have: Have,
    /// Pieces that the agent is reading from the origin.
    pub reading: Bitmap,
    /// Whether the agent's engine already serves the version.
    pub serving: bool,
}

/// Receiver of the reports about one version.
#[derive(Debug)]
struct Subscription {
    model: String,
    version: u64,
    reports: mpsc::Sender<PeerReport>,
}

/// Agent that asks which pieces of a version this one has.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Asker {
    address: SocketAddr,
    model: String,
    version: u64,
    /// When it last asked, as time since this agent's start.
    asked_at: Duration,
}

/// Datagram socket shared with the other agents; clones share the socket.
#[derive(Debug, Clone)]
pub struct Exchange {
    socket: Rc<UdpSocket>,
    state: Rc<State>,
    /// One for each version that is being fetched; those whose receivers are gone are removed by the next one.
    subscriptions: Rc<RefCell<Vec<Subscription>>>,
    /// Agents that have asked for pieces; outdated ones are removed by the next gain.
    askers: Rc<RefCell<Vec<Asker>>>,
}

impl Exchange {
    /// Creates an exchange on `socket`.
    pub fn new(socket: UdpSocket, state: Rc<State>) -> Self {
        Self {
            socket: Rc::new(socket),
            state,
            subscriptions: Rc::default(),
            askers: Rc::default(),
        }
    }

    /// Returns a receiver of other agents' reports about a version.
    pub fn subscribe(&self, model: &str, version: u64) -> mpsc::Receiver<PeerReport> {
        let (reports, receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
        let mut subscriptions = self.subscriptions.borrow_mut();
        subscriptions.retain(|subscription| !subscription.reports.is_closed());
        subscriptions.push(Subscription {
            model: model.to_owned(),
            version,
            reports,
        });
        receiver
    }

    /// Asks an agent which pieces of a version it has.
    pub fn query(&self, agent: SocketAddr, model: &str, version: u64) {
        let message = AgentDatagram::Ask {
            from: self.state.options.member.address,
            model: model.to_owned(),
            version,
            max_age_ms: self.state.told_age_ms(model, version),
        };
        self.send(agent, &message);
    }

    /// Reports the pieces of a version to the agents that ask for them, after a change.
    pub fn report_change(&self, model: &str, version: u64) {
        let now = self.state.now();
        let mut askers = self.askers.borrow_mut();
        askers.retain(|asker| now.saturating_sub(asker.asked_at) < ASKER_TIME);
        for asker in askers.iter() {
            if asker.model == model && asker.version == version {
                self.answer(asker.address, model.to_owned(), version);
            }
        }
    }

    fn record_asker(&self, address: SocketAddr, model: &str, version: u64) {
        let asked_at = self.state.now();
        let mut askers = self.askers.borrow_mut();
        askers.retain(|asker| {
            asker.address != address || asker.model != model || asker.version != version
        });
        if askers.len() < MAX_ASKERS {
            askers.push(Asker {
                address,
                model: model.to_owned(),
                version,
                asked_at,
            });
        }
    }

    /// Announces a version to a few random agents of any region. Each of them does the same, so that the announcement
    /// reaches all agents.
    ///
    /// A few random entries are told as well, because the key-value service may serve agents while it refuses entries.
    pub fn announce(&self, model: &str, version: u64) {
        self.tell_entries(model, version);
        let message = AgentDatagram::Named {
            model: model.to_owned(),
            version,
            max_age_ms: self.state.told_age_ms(model, version),
        };
        let roster = self.state.roster();
        let own_address = self.state.options.member.address;
        let others = roster.members().iter().map(|member| member.address);
        let others: Vec<SocketAddr> = others.filter(|address| *address != own_address).collect();
        for agent in others.sample(&mut rand::rng(), ANNOUNCE_FANOUT) {
            self.send(*agent, &message);
        }
    }

    fn tell_entries(&self, model: &str, version: u64) {
        let target = datagram::Target {
            model: model.to_owned(),
            version,
            max_age_ms: self.state.told_age_ms(model, version),
        };
        let entries = self.state.entries();
        let chosen = entries.sample(&mut rand::rng(), ANNOUNCE_FANOUT);
        match datagram::encode(&Datagram::Targets(vec![target])) {
            // A lost datagram does no harm: other agents send one, and entries also watch the service.
            Ok(bytes) => chosen.for_each(|entry| drop(self.socket.try_send_to(&bytes, *entry))),
            Err(error) => log::warn!(error:%; "datagram not encoded"),
        }
    }

    /// Handles incoming datagrams until the process ends.
    pub async fn run(self) {
        let socket = Rc::clone(&self.socket);
        let mut inbox = Inbox::new(socket, self.state.clock(), MAX_DATAGRAM_BYTES);
        loop {
            match inbox.receive().await {
                Ok(inbox::Datagram {
                    bytes,
                    from,
                    arrived_after,
                }) => match datagram::decode(bytes) {
                    Ok(message) => self.handle(from, message, arrived_after),
                    Err(error) => log::warn!(from:%, error:%; "malformed datagram"),
                },
                Err(error) => log::debug!(error:%; "datagram not received"),
            }
        }
    }

    fn handle(&self, sender: SocketAddr, message: AgentDatagram, arrived_after: Duration) {
        match message {
            AgentDatagram::Named {
                model,
                version,
                max_age_ms,
            } => {
                self.state
                    .learn_age(&model, version, max_age_ms, arrived_after, "datagram");
                if max_age_ms.is_none() {
                    self.tell_age(sender, model, version);
                }
            }
            AgentDatagram::Ask {
                from,
                model,
                version,
                max_age_ms,
            } => {
                self.state
                    .learn_age(&model, version, max_age_ms, arrived_after, "agent");
                self.record_asker(from, &model, version);
                self.answer(from, model, version);
            }
            AgentDatagram::Have {
                from,
                model,
                version,
                pieces,
                held,
                reading,
                serving,
            } => {
                for subscription in self.subscriptions.borrow().iter() {
                    if subscription.model != model || subscription.version != version {
                        continue;
                    }
                    let report = PeerReport {
                        from: Key::of(&from.to_string()),
                        version,
                        have: Have::Whole(Bitmap::from_words(pieces as usize, &held)),
                        reading: Bitmap::from_words(pieces as usize, &reading),
                        serving,
                    };
                    // A full queue drops the report; later ones repeat it.
                    let _ = subscription.reports.try_send(report);
                }
            }
        }
    }

    /// Tells an agent that does not know a version's age, because it has started since, what is known here.
    fn tell_age(&self, agent: SocketAddr, model: String, version: u64) {
        let roster = self.state.roster();
        let mut members = roster.members().iter();
        // Entries send their announcements to agents as well, but don't understand the answer.
        if !members.any(|member| member.address == agent) {
            return;
        }
        if let Some(max_age_ms) = self.state.told_age_ms(&model, version) {
            let message = AgentDatagram::Named {
                model,
                version,
                max_age_ms: Some(max_age_ms),
            };
            self.send(agent, &message);
        }
    }

    /// Answers a query. A query for a version newer than the known one also announces that version: the sender learned
    /// of it from the key-value service.
    fn answer(&self, from: SocketAddr, model: String, version: u64) {
        let staged = self.state.staged(&model, version);
        let reading = staged.as_ref().map(|staged| staged.reading());
        let held = match staged {
            Some(staged) => staged.held(),
            // The staged pieces have not been verified yet. An empty answer is sent so that the other agent does not wait
            // for that.
            None if self.state.is_announced(&model, version) => {
                Bitmap::new(self.state.piece_count(&model).unwrap_or_default())
            }
            None => return,
        };
        let message = AgentDatagram::Have {
            from: self.state.options.member.address,
            pieces: held.length() as u32,
            held: held.words().to_vec(),
            reading: reading.map_or_else(Vec::new, |reading| reading.words().to_vec()),
            serving: self.state.is_serving(version),
            model,
            version,
        };
        self.send(from, &message);
    }

    fn send(&self, to: SocketAddr, message: &AgentDatagram) {
        match datagram::encode(message) {
            // Sending is best effort: the next query makes up for a lost datagram.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, to)),
            Err(error) => log::warn!(error:%; "datagram not encoded"),
        }
    }
}
