//! Instances in one process, each with its own port and link to the key-value service.

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

use super::link::{Link, Mode};

/// Handler of one instance's internal port.
#[derive(Debug, Clone)]
struct InternalPort(Gossip);

impl Handler for InternalPort {
    async fn handle(&self, request: Request) -> Reply {
        self.0.serve(&request).unwrap_or_else(|| {
            let mut reply = Reply::new(Body::from(""));
            *reply.status_mut() = StatusCode::NOT_FOUND;
            reply
        })
    }
}

/// One instance.
pub(crate) struct Node<S = Memory> {
    pub(crate) name: String,
    pub(crate) link: Link<S>,
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

/// Instances of one availability zone, by default over a store in memory.
pub(crate) struct Fleet<S = Memory> {
    pub(crate) store: S,
    pub(crate) nodes: Vec<Node<S>>,
    instances: watch::Sender<Arc<Snapshot>>,
}

impl<S: Store> Fleet<S> {
    /// Starts instances, each with its own store.
    pub(crate) fn start_with(count: usize, store: impl Fn() -> S) -> Self {
        let mut fleet = Self::start(0, store());
        for number in 0..count {
            fleet.store = store();
            fleet.add(&format!("place-{number}"), Mode::Up);
        }
        fleet
    }

    /// Starts instances that share a store.
    pub(crate) fn start(count: usize, store: S) -> Self {
        let mut fleet = Self {
            store,
            nodes: Vec::new(),
            instances: watch::Sender::new(Arc::default()),
        };
        for number in 0..count {
            fleet.add(&format!("place-{number}"), Mode::Up);
        }
        fleet
    }

    /// Starts one more instance, adds it to the instance list and returns its index.
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
            self.instances.subscribe(),
        );
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any_port, 1, Limit::default(), InternalPort(gossip.clone()));
        let server = server.expect("port is free");
        let link = Link::new(&self.store);
        link.set_mode(mode);
        self.nodes.push(Node {
            name: name.to_owned(),
            link: link.clone(),
            task: tokio::spawn(gossip.run(link)),
            gossip,
            active,
            address: server.address(),
            server,
        });
        self.publish();
        self.nodes.len() - 1
    }

    /// Stops an instance and starts it again under the same name and without its state; returns its new index.
    pub(crate) fn restart(&mut self, index: usize, mode: Mode) -> usize {
        let old = self.nodes.remove(index);
        let name = old.name.clone();
        drop(old);
        self.add(&name, mode)
    }

    /// Returns the indices of the instances that are watchers.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let is_watcher = |index: &usize| self.nodes[*index].gossip.replica().report().watcher;
        (0..self.nodes.len()).filter(is_watcher).collect()
    }

    /// Publishes the instance list to all instances.
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
            version: self.instances.borrow().version + 1,
            ..Snapshot::default()
        };
        snapshot.instances = self.nodes.iter().map(instance).collect();
        self.instances.send_replace(Arc::new(snapshot));
    }
}

/// Waits until a condition is true, and panics after a minute.
pub(crate) async fn wait(what: &str, is_true: impl Fn() -> bool) {
    for _ in 0..3000 {
        if is_true() {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting for {what}");
}

fn here() -> Place {
    Place {
        region: "kymenlaakso".to_owned(),
        zone: "kotka".to_owned(),
    }
}
