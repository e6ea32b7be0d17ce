//! Replication of the lists to all instances by gossip: a few watchers per availability zone, and digests and deltas
//! between peers.
//!
//! Every instance keeps a replica of the same [`Table`](crate::table::Table). Watchers read changes from the key-value
//! service. An instance that receives a change pushes it to a few peers in its zone, and every instance periodically
//! pulls the changes it lacks from a random peer. Each response carries the time since the service confirmed its
//! content, so that an instance notices when the watchers have stopped and reads from the service itself.

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

/// Identity of this process towards its peers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Region and availability zone of the instance.
    pub place: instance::Place,
    /// Secret shared by all processes of the deployment.
    pub secret: Secret,
}

impl Settings {
    /// Derives the settings from those of a daemon.
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

/// Gossip service of one process; clones share its state.
#[derive(Debug, Clone)]
pub struct Gossip {
    settings: Arc<Settings>,
    replica: Replica,
    exchange: Exchange,
    peers: Peers,
}

impl Gossip {
    /// Creates the service; `peers` receives every new instance list, and `active` the lists to use.
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

    /// Returns this process's replica of the lists.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Loads the lists and keeps them up to date until the process stops.
    pub fn run<S: Store>(&self, store: S) -> impl Future<Output = ()> + Send + 'static {
        let gossip = self.clone();
        async move {
            bootstrap::load(&gossip, &store).await;
            tokio::join!(
                watcher::run(&gossip, &store),
                gossip.exchange.run_pushes(gossip.peers.clone()),
                gossip.exchange.run_pulls(gossip.peers.clone()),
            );
        }
    }
}
