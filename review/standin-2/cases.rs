//! Scenarios of the cases with their judgements, each of which returns whether the rule was broken.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    client::{Class, Outcome, send_class},
    server::{Listing, Server},
    world::{SERVER_PORT, World},
};

/// Bounds of the small site kvh-antennit, as its sheet and the settings say.
const DRAIN: Duration = Duration::from_millis(2000);
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);

/// Zones and regions of that site.
const ZONES: [(&str, &str); 3] = [
    ("kotka-a", "kymenlaakso"),
    ("lappeenranta-a", "etela-karjala"),
    ("mikkeli-a", "etela-savo"),
];

/// Service with three servers of six slots each, and one with a single server of eight.
const ORDERS: &str = "tyojono";
const RECORDS: &str = "kirjanpito";

/// Time that a request takes at a server, as the sheet says.
const WORK: Duration = Duration::from_millis(15);

const HOST: &str = "jepu9.example";

/// Plain requests of the sheet with their rates.
const ISSUE: Class = Class {
    name: "work-order-issue",
    method: "POST",
    host: HOST,
    path: "/filo73/2f",
    per_second: 12.0,
    time_limit: Duration::from_millis(1500),
    idempotent: false,
    body_bytes: 600,
};
const LOOKUP: Class = Class {
    name: "stock-lookup",
    method: "GET",
    host: HOST,
    path: "/boye614/2f",
    per_second: 4.8,
    time_limit: Duration::from_millis(1500),
    idempotent: true,
    body_bytes: 0,
};

/// Requests on a route that is added later, to the service with one server.
const ADDED: Class = Class {
    name: "records-lookup",
    method: "GET",
    host: HOST,
    path: "/nyla55/2f",
    per_second: 5.0,
    time_limit: Duration::from_millis(1500),
    idempotent: true,
    body_bytes: 0,
};

/// Plays a case; returns whether its rule was broken.
pub fn play(case: &str, world: &Arc<World>) -> Result<bool, String> {
    let broken = match case {
        "route" => route(world),
        "address" => address(world),
        "restart" => restart(world),
        "pages" => pages(world),
        _ => Err(format!("no case {case}")),
    }?;
    world.check_processes()?;
    Ok(broken)
}

/// Configuration with the routes of the sheet's plain requests and, if `with_added`, one to the service with one server.
fn config(version: u64, with_added: bool) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":2,\"service\":\"{service}\",\"attempts\":2,\"anonymous\":false}}"
        )
    };
    let mut routes = vec![
        route("r-issue", "/filo73/", "non_idempotent", ORDERS),
        route("r-lookup", "/boye614/", "idempotent", ORDERS),
    ];
    if with_added {
        routes.push(route("r-records", "/nyla55/", "idempotent", RECORDS));
    }
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":48,\"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        service(ORDERS),
        service(RECORDS)
    )
}

fn put_config(world: &World, version: u64, with_added: bool) -> Instant {
    let at = world.store.put("op/config", &config(version, with_added));
    world.note(&format!(
        "operator: config {version} acknowledged, with the added route: {with_added}"
    ));
    at
}

fn start_server(
    world: &Arc<World>,
    machine: u8,
    service: &str,
    zone: &str,
    slots: u32,
) -> Arc<Server> {
    let listing = Listing {
        id: format!("i-{machine:02}a91c2"),
        service: service.to_owned(),
        zone: zone.to_owned(),
        slots,
        state: "ready",
        born: world.unix_ms() - 60_000,
    };
    Server::start(world, world.address(machine, SERVER_PORT), listing, WORK)
}

/// Starts the small deployment: the first configuration, four servers and three entries, one in each region.
fn start(world: &Arc<World>) -> Result<(Vec<Arc<Server>>, Arc<Server>), String> {
    put_config(world, 7, false);
    let orders: Vec<Arc<Server>> = (0..3_u8)
        .map(|index| start_server(world, 30 + index, ORDERS, ZONES[usize::from(index)].0, 6))
        .collect();
    let records = start_server(world, 40, RECORDS, "mikkeli-a", 8);
    for (index, (zone, _)) in ZONES.iter().enumerate() {
        world.start_entry(10 + index as u8, zone, &ZONES)?;
    }
    world.wait_ready()?;
    // As long as the bench waits before the traffic starts, less what the processes took.
    sleep(Duration::from_secs(3));
    Ok((orders, records))
}

/// Judges the rule CONFIG on routes that were added later, over requests sent from `from` on.
fn judge_added(world: &World, from: Instant) -> Result<bool, String> {
    let outcomes: Vec<Outcome> = world
        .outcomes()
        .into_iter()
        .filter(|outcome| outcome.sent_at >= from)
        .collect();
    let count = |added: bool| {
        let of_kind = outcomes
            .iter()
            .filter(|outcome| (outcome.class == ADDED.name) == added);
        let served = of_kind.clone().filter(|outcome| outcome.served).count();
        (served, of_kind.count())
    };
    let ((added_served, added), (first_served, first)) = (count(true), count(false));
    world.note(&format!(
        "judged: on the added route {added_served} of {added} requests served, on the first routes {first_served} of {first}"
    ));
    if added < 20 || first < 20 || first_served * 2 < first {
        return Err("too few requests, or the first routes were not served".to_owned());
    }
    let share = added_served as f64 / added as f64;
    Ok(share < 0.25 * first_served as f64 / first as f64)
}

/// Plays the end of the cases of a lost server: a route to it is added, and requests are sent there.
fn add_route(world: &Arc<World>, until: Instant) -> Result<bool, String> {
    let acknowledged_at = put_config(world, 11, true);
    let from = acknowledged_at + CONFIG_APPLY;
    let added = send_class(world, &ADDED, from, until);
    added.join().map_err(|_| "clients failed".to_owned())?;
    judge_added(world, from)
}

/// A row of another writer, without two fields and with an id that is no header value, names the service `tyojono` and an
/// address that belongs to a server of another service.
fn route(world: &Arc<World>) -> Result<bool, String> {
    let (_orders, records) = start(world)?;
    let begin = Instant::now();
    let until = begin + Duration::from_secs(14);
    let traffic = [
        send_class(world, &ISSUE, begin, until),
        send_class(world, &LOOKUP, begin, until),
    ];
    sleep(Duration::from_secs(4));
    if world.trouble {
        let row = format!(
            "{{\"service\":\"{ORDERS}\",\"address\":\"{}\",\"zone\":\"mikkeli-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"sequence\":1}}",
            records.address
        );
        let key = "servers/tyojono-3\n";
        world.store.put(key, &row);
        world.note(&format!("another writer: {key:?} is {row}"));
    }
    for traffic in traffic {
        traffic.join().map_err(|_| "clients failed".to_owned())?;
    }
    let runs = world.runs();
    let at_records: Vec<String> = runs
        .iter()
        .filter(|run| run.server == records.id())
        .map(|run| format!("{} ({})", run.attempt, run.path))
        .collect();
    world.note(&format!(
        "judged: {} requests on routes to {ORDERS} were run by {}, a server of {RECORDS}, to which no configuration has a route: {}",
        at_records.len(),
        records.id(),
        at_records.join(", ")
    ));
    Ok(!at_records.is_empty())
}

/// A row of another writer, with a service that isn't named in the configuration, names the address of a live server.
fn address(world: &Arc<World>) -> Result<bool, String> {
    let (_orders, records) = start(world)?;
    let begin = Instant::now();
    let until = begin + Duration::from_secs(25);
    let traffic = [
        send_class(world, &ISSUE, begin, until),
        send_class(world, &LOOKUP, begin, until),
    ];
    sleep(Duration::from_secs(4));
    if world.trouble {
        let row = format!(
            "{{\"service\":\"arkisto\",\"address\":\"{}\",\"zone\":\"mikkeli-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
            records.address,
            world.unix_ms() - 60_000
        );
        world.store.put("servers/i-0e5f17aa", &row);
        world.note(&format!("another writer: servers/i-0e5f17aa is {row}"));
        sleep(Duration::from_secs(2));
        world.store.remove("servers/i-0e5f17aa");
        world.note("another writer: servers/i-0e5f17aa is removed");
    }
    sleep(CONTACT + Duration::from_secs(2));
    let broken = add_route(world, until);
    for traffic in traffic {
        traffic.join().map_err(|_| "clients failed".to_owned())?;
    }
    broken
}

/// Two servers, one of them the only one of its service, are restarted in place, under the ids that they had.
fn restart(world: &Arc<World>) -> Result<bool, String> {
    let (orders, records) = start(world)?;
    let begin = Instant::now();
    let until = begin + Duration::from_secs(28);
    let traffic = [
        send_class(world, &ISSUE, begin, until),
        send_class(world, &LOOKUP, begin, until),
    ];
    sleep(Duration::from_secs(4));
    if world.trouble {
        orders[0].drain();
        records.drain();
        // They go on serving for as long as the pages say, and a little longer.
        sleep(DRAIN + Duration::from_millis(500));
        orders[0].stop();
        orders[0].unregister();
        sleep(Duration::from_millis(60));
        records.stop();
        records.unregister();
        sleep(Duration::from_millis(60));
        orders[0].restart();
        sleep(Duration::from_millis(60));
        records.restart();
    }
    sleep(CONTACT + Duration::from_secs(2));
    let broken = add_route(world, until);
    for traffic in traffic {
        traffic.join().map_err(|_| "clients failed".to_owned())?;
    }
    broken
}

/// Judges the rule DRAIN for a server whose leaving was acknowledged: requests that reach it too late, from entries that
/// were in touch all the while.
fn judge_drain(world: &World, server: &str, acknowledged_at: Instant, in_touch: &[usize]) -> bool {
    let sent: BTreeMap<String, usize> = world
        .outcomes()
        .into_iter()
        .flat_map(|outcome| outcome.attempts)
        .collect();
    let runs = world.runs();
    let at_server = runs.iter().filter(|run| run.server == server);
    let late = at_server.filter(|run| run.at > acknowledged_at + DRAIN);
    let late = late.filter(|run| {
        sent.get(&run.attempt)
            .is_some_and(|entry| in_touch.contains(entry))
    });
    let late: Vec<String> = late
        .map(|run| {
            format!(
                "{} after {} ms",
                run.attempt,
                (run.at - acknowledged_at).as_millis()
            )
        })
        .collect();
    world.note(&format!(
        "judged: {} requests from the entries {in_touch:?} reached {server} later than {} ms after the acknowledgement: {}",
        late.len(),
        DRAIN.as_millis(),
        late.join(", ")
    ));
    !late.is_empty()
}

/// Five entries of one region, as on the grown sites, of which two follow the store. Four times a server leaves without
/// reporting that it drains, while the followers read all rows again because their watches were cut, between two pages.
fn pages(world: &Arc<World>) -> Result<bool, String> {
    put_config(world, 7, false);
    let orders: Vec<Arc<Server>> = (0..8_u8)
        .map(|index| start_server(world, 30 + index, ORDERS, "kotka-a", 6))
        .collect();
    // Listed servers of the other service, so that the rows need two pages.
    let _others: Vec<Arc<Server>> = (0..55_u8)
        .map(|index| start_server(world, 100 + index, RECORDS, "kotka-a", 8))
        .collect();
    for machine in 10..15 {
        world.start_entry(machine, "kotka-a", &ZONES)?;
    }
    world.wait_ready()?;
    sleep(Duration::from_secs(4));
    let begin = Instant::now();
    let until = begin + Duration::from_secs(30);
    let traffic = [
        send_class(world, &ISSUE, begin, until),
        send_class(world, &LOOKUP, begin, until),
    ];
    let mut departures = Vec::new();
    for server in orders.iter().rev().take(4) {
        sleep(Duration::from_secs(4));
        departures.push(if world.trouble {
            leave_between_pages(world, server)?
        } else {
            (server.unregister(), (0..5).collect())
        });
    }
    for traffic in traffic {
        traffic.join().map_err(|_| "clients failed".to_owned())?;
    }
    let mut broken = false;
    for (server, (acknowledged_at, in_touch)) in orders.iter().rev().zip(departures) {
        broken |= judge_drain(world, &server.id(), acknowledged_at, &in_touch);
    }
    Ok(broken)
}

/// Removes a server's entry while the followers read. Returns when the store accepted that, and the entries that did not call the
/// store meanwhile, so that no connection of theirs was cut.
fn leave_between_pages(world: &World, server: &Server) -> Result<(Instant, Vec<usize>), String> {
    server.begin_to_leave();
    world.store.remove_between_pages(&server.key(), 2);
    let cut_at = world.store.cut_watches();
    world.note("store: all waiting watches are cut");
    sleep(Duration::from_millis(500));
    let mut callers = Vec::new();
    for (at, caller, call) in world
        .store
        .calls()
        .into_iter()
        .filter(|(at, ..)| *at >= cut_at)
    {
        let after_ms = (at - cut_at).as_millis();
        world.note(&format!(
            "store: {caller} calls for {call}, {after_ms} ms after the cut"
        ));
        callers.push(caller);
    }
    let removed_at = world.store.removed_between_at();
    let removed_at = removed_at.ok_or("the followers did not read at the same time")?;
    let after_ms = (removed_at - cut_at).as_millis();
    world.note(&format!(
        "store: {} is removed between two pages, {after_ms} ms after the cut",
        server.key()
    ));
    let entries = world.entries();
    let passive = entries
        .iter()
        .enumerate()
        .filter(|(_, entry)| !callers.contains(&entry.name));
    Ok((removed_at, passive.map(|(index, _)| index).collect()))
}
