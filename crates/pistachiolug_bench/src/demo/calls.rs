//! Burst of calls: paid and trial chats, bookings that are sent twice, and stock lookups.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use pistachiolug_wire::digest::Digest;
use tokio::time::{Instant, sleep};

use crate::{
    load::{
        caller::Caller,
        plan::{self, Kind, Stream},
        runner,
        sample::{End, Sample},
    },
    rig::deployment::{Deployment, PAID_KEY, TRIAL_KEY},
};

/// Seed of the times and contents of the requests.
const SEED: u64 = 20_261_203;

/// Longest wait for the first answer of each entry.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Tokens of each trial answer, enough for the surge to exceed the capacity of the engines.
const SURGE_TOKENS: u32 = 96;

/// Duration of the burst in seconds.
const BURST_S: f64 = 5.0;

/// Sends the burst to all entries in turn and returns a sample of each call.
///
/// # Errors
/// `TimedOut` if an entry answers no call before the burst.
pub async fn run(
    deployment: &Deployment,
    version: &str,
    weights: &[u8],
) -> io::Result<Vec<Sample>> {
    let keys = [("paid", PAID_KEY), ("trial", TRIAL_KEY)];
    let keys = keys.map(|(name, key)| (name.to_owned(), key.to_owned()));
    let versions = BTreeMap::from([(version.to_owned(), Digest::of(weights))]);
    let caller = Caller::new(keys.into(), versions);
    let entries: Vec<SocketAddr> = deployment
        .entries
        .iter()
        .filter_map(|entry| entry.callers)
        .collect();
    warm_up(&caller, &entries).await?;
    let planned = plan::build(&streams(), SEED);
    Ok(runner::run(&caller, &planned, &entries).await)
}

fn streams() -> Vec<Stream> {
    let stream = |customer: &str, kind, rate| Stream {
        customer: customer.to_owned(),
        kind,
        rate,
        from_s: 0.0,
        until_s: BURST_S,
        tokens: 16,
    };
    let surge = Stream {
        from_s: 1.0,
        tokens: SURGE_TOKENS,
        ..stream("trial", Kind::Chat, 150.0)
    };
    vec![
        stream("paid", Kind::Chat, 40.0),
        stream("paid", Kind::BookingTwice, 4.0),
        stream("paid", Kind::Stock, 4.0),
        surge,
    ]
}

/// Waits until each entry has the lists and an instance, so that the burst does not measure the start.
async fn warm_up(caller: &Caller, entries: &[SocketAddr]) -> io::Result<()> {
    let streams = [Stream {
        customer: "paid".to_owned(),
        kind: Kind::Stock,
        rate: 10.0,
        from_s: 0.0,
        until_s: 10.0,
        tokens: 1,
    }];
    let planned = plan::build(&streams, SEED);
    let Some(request) = planned.first() else {
        return Ok(());
    };
    for (index, entry) in entries.iter().enumerate() {
        let deadline = Instant::now() + FIRST_ANSWER_TIMEOUT;
        loop {
            let target = (index, *entry);
            let sample = caller
                .call(request, target, std::time::Instant::now())
                .await;
            if sample.end == End::Whole {
                break;
            }
            if Instant::now() > deadline {
                let reason = format!(
                    "entry {entry} answered no call in time; last code: {}",
                    sample.code
                );
                return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
