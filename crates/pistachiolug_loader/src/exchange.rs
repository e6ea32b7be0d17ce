//! Datagrams by which agents tell each other what is staged.

use std::{net::SocketAddr, rc::Rc};

use pistachiolug_weights::{bitmap::Bitmap, order::Key, planner::Have};
use pistachiolug_wire::datagram::{self, AgentDatagram};
use rand::seq::IndexedRandom;
use tokio::{
    net::UdpSocket,
    sync::mpsc::{self, error::TrySendError},
};

use crate::state::State;

/// Largest datagram in bytes.
const DATAGRAM_BYTES: usize = 16 << 10;

/// Agents that are told of a version by each that learns of it.
const TOLD: usize = 3;

/// Answers that may wait for the fetch; later ones repeat them.
const WAITING: usize = 256;

/// What another agent has of a version.
#[derive(Debug)]
pub struct PeerReport {
    /// Key of the agent.
    pub from: Key,
    /// Version that it speaks of.
    pub version: u64,
    /// Its pieces.
    pub have: Have,
    /// Whether its engine serves the version already.
    pub serving: bool,
}

/// Socket for datagrams of agents.
#[derive(Debug, Clone)]
pub struct Exchange {
    socket: Rc<UdpSocket>,
    state: Rc<State>,
    reports: mpsc::Sender<PeerReport>,
}

impl Exchange {
    /// Creates an exchange on a socket, and the receiver of what other agents say.
    pub fn new(socket: UdpSocket, state: Rc<State>) -> (Self, mpsc::Receiver<PeerReport>) {
        let (reports, receiver) = mpsc::channel(WAITING);
        let exchange = Self {
            socket: Rc::new(socket),
            state,
            reports,
        };
        (exchange, receiver)
    }

    /// Asks an agent what it has of a version.
    pub fn query(&self, agent: SocketAddr, model: &str, version: u64) {
        let message = AgentDatagram::Ask {
            from: self.state.options.member.address,
            model: model.to_owned(),
            version,
        };
        self.send(agent, &message);
    }

    /// Tells a few agents of any region of a version, which do the same, so that all learn of it.
    pub fn announce(&self, model: &str, version: u64) {
        let message = AgentDatagram::Named {
            model: model.to_owned(),
            version,
        };
        let roster = self.state.roster();
        let own = self.state.options.member.address;
        let others = roster.members().iter().map(|member| member.address);
        let others: Vec<SocketAddr> = others.filter(|address| *address != own).collect();
        for agent in others.sample(&mut rand::rng(), TOLD) {
            self.send(*agent, &message);
        }
    }

    /// Takes datagrams until the process ends.
    pub async fn run(self) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match datagram::decode(&buffer[..length]) {
                    Ok(message) => self.take(message),
                    Err(error) => log::warn!(from:%, error:%; "malformed datagram"),
                },
                Err(error) => log::debug!(error:%; "datagram not received"),
            }
        }
    }

    fn take(&self, message: AgentDatagram) {
        match message {
            AgentDatagram::Named { model, version } => {
                self.state.record_version(&model, version, "datagram");
            }
            AgentDatagram::Ask {
                from,
                model,
                version,
            } => self.answer(from, model, version),
            AgentDatagram::Have {
                from,
                model,
                version,
                pieces,
                held,
                serving,
            } => {
                let wanted = self.state.target();
                if wanted.is_none_or(|want| want.model != model || want.version != version) {
                    return;
                }
                let report = PeerReport {
                    from: Key::of(&from.to_string()),
                    version,
                    have: Have::Whole(Bitmap::from_words(pieces as usize, &held)),
                    serving,
                };
                if let Err(TrySendError::Closed(_)) = self.reports.try_send(report) {
                    log::debug!("nobody listens to what agents have");
                }
            }
        }
    }

    /// Answers a question; a newer version than the known one counts as named, since who asks for it has learned that
    /// from the service.
    fn answer(&self, from: SocketAddr, model: String, version: u64) {
        self.state.record_version(&model, version, "agent");
        let held = match self.state.staged(&model, version) {
            Some(staged) => staged.held(),
            None => match self.state.target() {
                // It has yet to look at what is staged, and who asks must not wait for that.
                Some(want) if want.model == model && want.version == version => {
                    Bitmap::new(want.pieces)
                }
                _ => return,
            },
        };
        let message = AgentDatagram::Have {
            from: self.state.options.member.address,
            pieces: held.length() as u32,
            held: held.words().to_vec(),
            serving: self.state.is_serving(version),
            model,
            version,
        };
        self.send(from, &message);
    }

    fn send(&self, to: SocketAddr, message: &AgentDatagram) {
        match datagram::encode(message) {
            // A lost datagram is made up for by the next question.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, to)),
            Err(error) => log::warn!(error:%; "datagram not encoded"),
        }
    }
}
