//! Initial load of the lists by a process that has none yet.
//!
//! The process asks the key-value service and a few peers at once and uses the newest response, so that neither an
//! outdated response of the service nor a stale peer makes a restarted process go back to older lists. If only peers
//! respond, it uses theirs and reports peers as the source; if nobody responds, it stays not ready and retries.

use std::time::Duration;

use pistachiolug_platform::kv::{Range, Store};
use tokio::time::{Instant, sleep, timeout};

use super::{
    Gossip,
    message::{Delta, PullRequest},
    watcher,
};
use crate::{row::PREFIX, table::Table};

/// Number of peers asked at once.
const PEER_COUNT: usize = 3;

/// Timeout for the response of a peer, so that a crashed peer does not delay the start.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for the response of the key-value service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(3);

/// Mean delay between two rounds if nobody responds.
const RETRY_DELAY: Duration = Duration::from_millis(600);

/// Loads the lists, retrying until the key-value service or a peer responds.
pub async fn load<S: Store>(gossip: &Gossip, store: &S) {
    loop {
        if try_load(gossip, store).await {
            let report = gossip.replica.report();
            log::info!(revision = report.revision, source:? = report.source; "lists loaded");
            return;
        }
        log::warn!("no lists yet: neither the key-value service nor a peer answers");
        sleep(RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

async fn try_load<S: Store>(gossip: &Gossip, store: &S) -> bool {
    let requested_at = Instant::now();
    let request = PullRequest {
        after: 0,
        digest: Table::default().digest(),
    };
    let topology = gossip.peers.clone().topology();
    let service = timeout(SERVICE_TIMEOUT, store.range(PREFIX));
    let peers = (0..PEER_COUNT).filter_map(|_| topology.any_peer(&mut rand::rng()));
    let peers = peers.map(|peer| timeout(PEER_TIMEOUT, gossip.exchange.pull(peer, &request)));
    let peers = futures_util::future::join_all(peers);
    let (service, peers) = tokio::join!(service, peers);
    let range = service.ok().and_then(Result::ok);
    let deltas = peers
        .into_iter()
        .filter_map(|response| response.ok().flatten());
    let newest = deltas.max_by_key(|it| it.revision);
    apply_newest(gossip, range, newest, requested_at)
}

/// Applies both responses; the replica ignores the older one. Returns whether one of them was applied.
fn apply_newest(
    gossip: &Gossip,
    range: Option<Range>,
    peer: Option<Delta>,
    requested_at: Instant,
) -> bool {
    let replica = &gossip.replica;
    let from_peer =
        peer.is_some_and(|delta| delta.whole && replica.apply_delta(delta, requested_at));
    let from_service = range.is_some_and(|range| {
        let revision = range.position.revision;
        replica.apply_snapshot(watcher::rows(range), revision, requested_at)
    });
    from_peer || from_service
}
