//! Burst of calls as callers send them.

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

/// Seed of the requests' times and contents.
const SEED: u64 = 20_261_203;

/// Longest wait until every entry answers its first call.
const PATIENCE: Duration = Duration::from_secs(30);

/// Tokens of each trial answer: long enough that the surge asks for more than the engines have.
const SURGE_TOKENS: u32 = 96;

/// Length of the burst in seconds.
const BURST_S: f64 = 5.0;

/// Sends the burst over all entries and returns what became of each call.
///
/// # Errors
/// `TimedOut` when an entry answers no call at all.
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

/// Waits until each entry knows the lists and an instance, so that the burst measures a running deployment.
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
        let end = Instant::now() + PATIENCE;
        loop {
            let target = (index, *entry);
            let sample = caller
                .call(request, target, std::time::Instant::now())
                .await;
            if sample.end == End::Whole {
                break;
            }
            if Instant::now() > end {
                let reason = format!("{entry} answers no call: {}", sample.code);
                return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
