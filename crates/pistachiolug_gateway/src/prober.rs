//! Checks of servers at which requests were lost.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{net::TcpStream, task::spawn_local, time::timeout};

use crate::{
    losses::{Check, Verdict},
    state::State,
};

/// Longest time that one connection attempt may take; a hundred times the delay between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Connection attempts until a server counts as unreachable; a single packet may get lost.
const ATTEMPTS: u32 = 3;

/// Checks the servers at which requests were lost; never returns.
pub async fn run(state: Rc<State>) {
    loop {
        state.wait_for_loss().await;
        for check in state.start_checks() {
            let state = Rc::clone(&state);
            spawn_local(async move {
                let verdict = probe(check.address).await;
                finish(&state, &check, verdict);
            });
        }
    }
}

async fn probe(address: SocketAddr) -> Verdict {
    for _ in 0..ATTEMPTS {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return Verdict::Accepted,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Verdict::Refused;
            }
            Ok(Err(error)) => {
                log::debug!(server:% = address, error:%; "connecting to a server failed");
            }
            Err(_) => {}
        }
    }
    Verdict::Unreachable
}

fn finish(state: &State, check: &Check, verdict: Verdict) {
    let crashed = state.finish_check(check, verdict);
    log::info!(server = &*check.server, verdict = verdict.as_str(), crashed; "server checked after a lost request");
    state.metrics.loss_checks.get(verdict.as_str()).inc();
}
