//! Spread of the lists: a few watchers per availability zone, and digests and deltas between peers.
//!
//! Every place keeps the same [`Table`](crate::table::Table). Watchers read changes from the key-value service. A place
//! that takes a change pushes it to a few peers of its zone, and every place regularly asks a random peer for what it
//! lacks. Each answer tells how long ago its content was confirmed by the service, so a place notices silent watchers
//! and reads by itself.

pub mod bootstrap;
pub mod exchange;
pub mod message;
pub mod peers;
pub mod replica;
pub mod routes;
pub mod topology;
pub mod watcher;

use std::{future::Future, sync::Arc};

use pistachiolug_http::{client::Client, secret::Secret};
use pistachiolug_platform::{directory::Snapshot, kv::Store};
use pistachiolug_settings::daemon::Daemon;
use pistachiolug_wire::instance;
use tokio::sync::watch;

use self::{exchange::Exchange, peers::Peers, replica::Replica};
use crate::active::ActiveLists;

/// Who this process is and how it reaches its peers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Region and availability zone.
    pub place: instance::Place,
    /// Secret shared by the deployment.
    pub secret: Secret,
}

impl Settings {
    /// Takes them from a daemon's settings.
    pub fn new(settings: &Daemon, secret: &Secret) -> Self {
        Self {
            instance: settings.instance.clone(),
            place: instance::Place {
                region: settings.region.clone(),
                zone: settings.zone.clone(),
            },
            secret: secret.clone(),
        }
    }
}

/// Spread service of one process; clones share it.
#[derive(Debug, Clone)]
pub struct Gossip {
    settings: Arc<Settings>,
    replica: Replica,
    exchange: Exchange,
    peers: Peers,
}

impl Gossip {
    /// Creates the service; `peers` follows the instance list.
    pub fn new(
        settings: Settings,
        client: Client,
        active: ActiveLists,
        peers: watch::Receiver<Arc<Snapshot>>,
    ) -> Self {
        let settings = Arc::new(settings);
        let peers = Peers::new(Arc::clone(&settings), peers);
        let replica = Replica::new(active);
        let exchange = Exchange::new(client, Arc::clone(&settings), replica.clone());
        Self {
            settings,
            replica,
            exchange,
            peers,
        }
    }

    /// Returns the state of the lists at this process.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Keeps the lists in line until the process stops.
    pub fn run<S: Store>(&self, store: S) -> impl Future<Output = ()> + Send + 'static {
        let gossip = self.clone();
        async move {
            bootstrap::start(&gossip, &store).await;
            tokio::join!(
                watcher::run(&gossip, &store),
                gossip.exchange.run_pushes(gossip.peers.clone()),
                gossip.exchange.run_pulls(gossip.peers.clone()),
            );
        }
    }
}
