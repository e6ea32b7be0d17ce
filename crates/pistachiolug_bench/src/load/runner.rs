//! Sends planned requests at their times.

use std::{net::SocketAddr, time::Instant};

use tokio::{
    task::JoinSet,
    time::{self, sleep_until},
};

use super::{
    caller::Caller,
    plan::{Kind, PlannedRequest},
    sample::Sample,
};

/// Sends all requests at their times, to the entries in turn, and waits for the answers.
///
/// The times of a request count from its planned time, even if the tool sends it late. Otherwise a stall would hide the
/// wait of the requests behind it.
pub async fn run(
    caller: &Caller,
    planned: &[PlannedRequest],
    entries: &[SocketAddr],
) -> Vec<Sample> {
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    let mut sent = 0;
    for request in planned {
        let due = start + request.at;
        sleep_until(time::Instant::from_std(due)).await;
        let copies = if request.kind == Kind::BookingTwice {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let index = sent % entries.len();
            sent += 1;
            let caller = caller.clone();
            let request = request.clone();
            let entry = (index, entries[index]);
            tasks.spawn(async move { caller.call(&request, entry, due).await });
        }
    }
    tasks.join_all().await
}
