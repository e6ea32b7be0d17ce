//! Checks of servers at which requests were lost.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    losses::{Check, Verdict},
    state::State,
};

/// Longest time that one connection attempt may take; a hundred times the delay between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time to wait whether the server closes the connection at once; live servers keep idle ones for seconds.
const HOLD_TIME: Duration = Duration::from_millis(100);

/// Most connection attempts of a check; a packet may get lost, and a full server closes some connections.
const ATTEMPTS: u32 = 3;

/// Pause between two connection attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest duration of a check.
pub const MAX_DURATION: Duration = CONNECT_TIMEOUT
    .saturating_add(RETRY_PAUSE)
    .saturating_mul(ATTEMPTS);

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

/// Checks whether a server keeps new connections.
pub async fn probe(address: SocketAddr) -> Verdict {
    let mut verdict = connect(address).await;
    for _ in 1..ATTEMPTS {
        if matches!(verdict, Verdict::Accepted | Verdict::Refused) {
            break;
        }
        sleep(RETRY_PAUSE).await;
        verdict = connect(address).await;
    }
    verdict
}

/// Connects once, and waits whether the server keeps the connection.
async fn connect(address: SocketAddr) -> Verdict {
    let mut stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return Verdict::Refused,
        Ok(Err(error)) => {
            log::debug!(server:% = address, error:%; "connecting to a server failed");
            return Verdict::Unreachable;
        }
        Err(_) => return Verdict::Unreachable,
    };
    // The server sends nothing before a request, so any result means that the connection has ended.
    match timeout(HOLD_TIME, stream.read_u8()).await {
        Ok(_) => Verdict::Closed,
        Err(_) => Verdict::Accepted,
    }
}

fn finish(state: &State, check: &Check, verdict: Verdict) {
    let crashed = state.finish_check(check, verdict);
    log::info!(server = &*check.server, verdict = verdict.as_str(), crashed; "server checked after a lost request");
    state.metrics.loss_checks.get(verdict.as_str()).inc();
}
