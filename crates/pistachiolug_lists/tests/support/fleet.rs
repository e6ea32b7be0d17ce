//! Places in one process, each with its own port and line to the service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::StatusCode;
use pistachiolug_http::{
    body::Body,
    client::Client,
    limit::Limit,
    secret::Secret,
    server::{Handler, Reply, Request, Server},
};
use pistachiolug_lists::{
    active::ActiveLists,
    gossip::{Gossip, Settings},
};
use pistachiolug_platform::{
    directory::Snapshot,
    kv::{Store, memory::Memory},
};
use pistachiolug_wire::instance::{Instance, Place, Role, State};
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use super::line::{Line, Mode};

/// Port of one place.
#[derive(Debug, Clone)]
struct Port(Gossip);

impl Handler for Port {
    async fn handle(&self, request: Request) -> Reply {
        self.0.serve(&request).unwrap_or_else(|| {
            let mut reply = Reply::new(Body::from(""));
            *reply.status_mut() = StatusCode::NOT_FOUND;
            reply
        })
    }
}

/// One place.
pub(crate) struct Node<S = Memory> {
    pub(crate) name: String,
    pub(crate) line: Line<S>,
    pub(crate) gossip: Gossip,
    pub(crate) active: ActiveLists,
    address: SocketAddr,
    server: Server,
    task: JoinHandle<()>,
}

impl<S> Drop for Node<S> {
    fn drop(&mut self) {
        self.task.abort();
        self.server.stop();
    }
}

/// Places of one availability zone, by default over a store in memory.
pub(crate) struct Fleet<S = Memory> {
    pub(crate) store: S,
    pub(crate) nodes: Vec<Node<S>>,
    list: watch::Sender<Arc<Snapshot>>,
}

impl<S: Store> Fleet<S> {
    /// Starts places, each with a store of its own.
    pub(crate) fn start_with(places: usize, store: impl Fn() -> S) -> Self {
        let mut fleet = Self::start(0, store());
        for number in 0..places {
            fleet.store = store();
            fleet.add(&format!("place-{number}"), Mode::Up);
        }
        fleet
    }

    /// Starts places that share a store.
    pub(crate) fn start(places: usize, store: S) -> Self {
        let mut fleet = Self {
            store,
            nodes: Vec::new(),
            list: watch::Sender::new(Arc::default()),
        };
        for number in 0..places {
            fleet.add(&format!("place-{number}"), Mode::Up);
        }
        fleet
    }

    /// Starts one more place and lists it.
    pub(crate) fn add(&mut self, name: &str, mode: Mode) -> usize {
        let active = ActiveLists::default();
        let settings = Settings {
            instance: name.to_owned(),
            place: here(),
            secret: Secret::new("secret"),
        };
        let gossip = Gossip::new(
            settings,
            Client::new(8),
            active.clone(),
            self.list.subscribe(),
        );
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, 1, Limit::default(), Port(gossip.clone()));
        let server = server.expect("port is free");
        let line = Line::new(&self.store);
        line.set(mode);
        self.nodes.push(Node {
            name: name.to_owned(),
            line: line.clone(),
            task: tokio::spawn(gossip.run(line)),
            gossip,
            active,
            address: server.address(),
            server,
        });
        self.publish();
        self.nodes.len() - 1
    }

    /// Ends a place and starts it anew under the same name, without its state.
    pub(crate) fn restart(&mut self, at: usize, mode: Mode) -> usize {
        let old = self.nodes.remove(at);
        let name = old.name.clone();
        drop(old);
        self.add(&name, mode)
    }

    /// Returns the places that watch.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let watches = |at: &usize| self.nodes[*at].gossip.replica().report().watcher;
        (0..self.nodes.len()).filter(watches).collect()
    }

    fn publish(&self) {
        let instance = |node: &Node<S>| Instance {
            name: node.name.clone(),
            role: Role::Agent,
            service: "assistant".to_owned(),
            address: node.address,
            place: here(),
            state: State::Live,
        };
        let mut snapshot = Snapshot {
            version: self.list.borrow().version + 1,
            ..Snapshot::default()
        };
        snapshot.instances = self.nodes.iter().map(instance).collect();
        self.list.send_replace(Arc::new(snapshot));
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..3000 {
        if holds() {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("{what} never came");
}

fn here() -> Place {
    Place {
        region: "kymenlaakso".to_owned(),
        zone: "kotka".to_owned(),
    }
}
