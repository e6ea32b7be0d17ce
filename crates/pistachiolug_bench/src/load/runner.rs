//! Sending of planned requests on time.

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

/// Sends all requests at their times, round robin over the entries, and waits for the answers.
///
/// A request that is late because the tool was busy still counts from its planned time, so a slow answer never hides
/// the requests behind it.
pub async fn run(
    caller: &Caller,
    planned: &[PlannedRequest],
    entries: &[SocketAddr],
) -> Vec<Sample> {
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    let mut turn = 0;
    for request in planned {
        let due = start + request.at;
        sleep_until(time::Instant::from_std(due)).await;
        let copies = if request.kind == Kind::BookingTwice {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let index = turn % entries.len();
            turn += 1;
            let caller = caller.clone();
            let request = request.clone();
            let entry = (index, entries[index]);
            tasks.spawn(async move { caller.call(&request, entry, due).await });
        }
    }
    tasks.join_all().await
}
