//! Measures the cost of the gossip and the time that list changes take to reach all instances. The instances run in one
//! process with their own ports, on the stand-in of the key-value service.
//!
//! `cargo run --release -p pistachiolug_lists --example places -- INSTANCES CUSTOMERS CHANGES`

#![allow(clippy::print_stdout)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::{fs, net::SocketAddr, time::Duration};

use http::Request;
use pistachiolug_http::{client::Client, limit::Limit, server::Server, traffic};
use pistachiolug_lists::row::{Row, Stored};
use pistachiolug_platform::kv::{Error, Precondition, Store, Swap, etcd::Etcd};
use pistachiolug_standin::kv::gateway::Gateway;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use support::{
    customer,
    fleet::{Fleet, wait},
    plan,
};

/// Time for which the instances run without changes, to measure their idle cost.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);

/// Clock ticks per second in which the kernel reports processor times.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of the process and counters of the stand-in at one time.
struct Sample {
    at: Instant,
    cpu_s: f64,
    bytes: u64,
    record: Value,
}

#[tokio::main]
async fn main() {
    let args: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|it| it.parse().ok())
        .collect();
    let [instances, customers, changes] = args[..] else {
        println!("usage: places INSTANCES CUSTOMERS CHANGES");
        return;
    };
    let (server, store) = start_service();
    for number in 0..customers {
        let name = format!("customer {number}");
        write(&store, &customer(&name, "paid", &name)).await;
    }
    write(&store, &plan("paid", 1)).await;
    let resident_before = resident_mib();
    let fleet = Fleet::start_with(instances, || Etcd::new(Client::new(4), &base(&server)));
    wait_share(&fleet, 1).await;
    sleep(Duration::from_secs(6)).await;
    let resident = (resident_mib() - resident_before) / instances as f64;

    let start = take_sample(&server).await;
    sleep(IDLE_TIME).await;
    let idle = take_sample(&server).await;
    let mut times = Vec::new();
    for change in 0..changes {
        let changed_at = Instant::now();
        write(&store, &plan("paid", change as u32 + 2)).await;
        wait_share(&fleet, change as u32 + 2).await;
        times.push(changed_at.elapsed());
        sleep(CHANGE_PAUSE).await;
    }
    let end = take_sample(&server).await;
    times.sort_unstable();
    print_cost("idle", &start, &idle, instances);
    print_cost("changes", &idle, &end, instances);
    println!(
        "instances {instances} customers {customers} resident/instance {resident:.2} MiB; active on all instances after p50 {} ms, max {} ms",
        times[times.len() / 2].as_millis(),
        times[times.len() - 1].as_millis(),
    );
}

fn start_service() -> (Server, Etcd) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server =
        Server::bind(any_port, 1, Limit::default(), Gateway::default()).expect("port is free");
    let store = Etcd::new(Client::new(1), &base(&server));
    (server, store)
}

fn base(server: &Server) -> String {
    format!("http://{}", server.address())
}

/// Writes a row, retrying until the write succeeds.
async fn write(store: &Etcd, row: &Row) {
    let key = row.name().key();
    let stored = Stored {
        row: row.clone(),
        edit: None,
    };
    loop {
        let current = store.get(&key).await.expect("service answers");
        let expect = current.map_or(Precondition::Absent, |entry| {
            Precondition::Revision(entry.revision)
        });
        match store.swap(&key, expect, Some(&stored.render()), None).await {
            Ok(Swap::Done { .. }) => return,
            Err(Error::Throttled { after }) => sleep(after).await,
            other => println!("{other:?}"),
        }
    }
}

/// Waits until the plan `paid` has a share on all instances.
async fn wait_share(fleet: &Fleet<Etcd>, share: u32) {
    for node in &fleet.nodes {
        let lists = || node.active.current();
        let has_share = || lists().plan("paid").is_some_and(|plan| plan.share == share);
        wait("share", has_share).await;
    }
}

async fn take_sample(server: &Server) -> Sample {
    let request = Request::post(format!("{}/control/record", base(server)));
    let request = request.body(bytes::Bytes::new()).expect("well formed");
    let client = Client::new(1);
    let answer = client.fetch(request, 1 << 20, Duration::from_secs(5)).await;
    let total = traffic::total();
    Sample {
        at: Instant::now(),
        cpu_s: cpu_s(),
        bytes: total.sent + total.received,
        record: serde_json::from_slice(answer.expect("stand-in answers").body())
            .unwrap_or_default(),
    }
}

fn print_cost(phase: &str, from: &Sample, to: &Sample, instances: usize) {
    let seconds = (to.at - from.at).as_secs_f64();
    let instances = instances as f64;
    let count = |name: &str| {
        let of = |sample: &Sample| sample.record[name].as_u64().unwrap_or(0);
        of(to) - of(from)
    };
    println!(
        "{phase}: {seconds:.1} s; per instance {:.3} KB/s, {:.3}% core (stand-in included); service {} reads, {} watches, {} writes, {} bytes sent",
        (to.bytes - from.bytes) as f64 / 1e3 / seconds / instances,
        (to.cpu_s - from.cpu_s) / seconds / instances * 100.0,
        count("reads"),
        count("watches"),
        count("writes"),
        count("sent_bytes"),
    );
}

/// Returns the processor time of this process in seconds.
fn cpu_s() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|it| it.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the resident memory of this process in MiB.
fn resident_mib() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|it| it.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0 / f64::from(1 << 20)
}
