//! Start of a process that has no lists yet.
//!
//! The service and a few peers are asked at once and the newest answer is taken, so that neither an old answer of the
//! service nor a stale peer takes a restarted process back. With peers only, theirs is served and the state says so;
//! with nobody, the process stays not ready and goes on asking.

use std::time::Duration;

use pistachiolug_platform::kv::{Range, Store};
use tokio::time::{Instant, sleep, timeout};

use super::{
    Gossip,
    message::{Delta, PullRequest},
    watcher,
};
use crate::{row::PREFIX, table::Table};

/// Peers that are asked at once.
const PEERS: usize = 3;

/// Longest time for the answer of a peer, so that a dead one does not hold up the start.
const PEER_WAIT: Duration = Duration::from_millis(800);

/// Longest time for one round of answers.
const ROUND: Duration = Duration::from_secs(3);

/// Mean wait between two rounds without an answer.
const RETRY_WAIT: Duration = Duration::from_millis(600);

/// Asks until there are lists that can be trusted.
pub async fn start<S: Store>(gossip: &Gossip, store: &S) {
    loop {
        if try_start(gossip, store).await {
            let report = gossip.replica.report();
            log::info!(revision = report.revision, source:? = report.source; "lists in force");
            return;
        }
        log::warn!("no lists yet: neither the key-value service nor a peer answers");
        sleep(RETRY_WAIT.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

async fn try_start<S: Store>(gossip: &Gossip, store: &S) -> bool {
    let asked = Instant::now();
    let all = PullRequest {
        after: 0,
        digest: Table::default().digest(),
    };
    let topology = gossip.peers.clone().topology();
    let service = timeout(ROUND, store.range(PREFIX));
    let peers = (0..PEERS).filter_map(|_| topology.any_peer(&mut rand::rng()));
    let peers = peers.map(|peer| timeout(PEER_WAIT, gossip.exchange.pull(peer, &all)));
    let peers = futures_util::future::join_all(peers);
    let (service, peers) = tokio::join!(service, peers);
    let range = service.ok().and_then(Result::ok);
    let answers = peers.into_iter().filter_map(|answer| answer.ok().flatten());
    let newest = answers.max_by_key(|it| it.revision);
    take_newest(gossip, range, newest, asked)
}

fn take_newest(gossip: &Gossip, range: Option<Range>, peer: Option<Delta>, asked: Instant) -> bool {
    let replica = &gossip.replica;
    let from_peer = peer.is_some_and(|delta| delta.whole && replica.apply_delta(delta, asked));
    let from_service = range.is_some_and(|range| {
        let revision = range.revision;
        replica.apply_snapshot(watcher::rows(range), revision, asked)
    });
    from_peer || from_service
}
