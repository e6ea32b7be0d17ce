//! Allowed regions and evacuated zones: which servers get which requests.

#![allow(clippy::unwrap_used)]

mod support;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use pistachiolug_gateway::{
    config::{Config, Kind, Parts},
    placement::{Evacuations, Regions, Zones},
    server::Record,
};

use support::{Action, Entry, Server, answer, location, parts, request, route, run};

fn regions(names: &[&str]) -> Regions {
    Regions::new(names.iter().map(|name| (*name).to_owned()))
}

fn zones(allowed: &Regions, evacuated: &[&str]) -> Zones {
    let evacuated: BTreeSet<String> = evacuated.iter().map(|zone| (*zone).to_owned()).collect();
    Zones::new(allowed, &location().regions, &Arc::new(evacuated))
}

/// Returns which of the deployment's zones, and of an unknown one, servers may be in.
fn contained(zones: &Zones) -> Vec<&'static str> {
    let all = ["north", "south", "coast", "unknown"];
    all.into_iter()
        .filter(|zone| zones.contains(zone))
        .collect()
}

/// List of a route, list of a workspace, evacuated zones, and zones that are left.
type Row = (
    &'static [&'static str],
    &'static [&'static str],
    &'static [&'static str],
    &'static [&'static str],
);

/// Guards against requests in regions that their route or workspace does not allow.
#[test]
fn regions_of_route_and_workspace_and_evacuations_all_bind() {
    let rows: [Row; 9] = [
        (&[], &[], &[], &["north", "south", "coast", "unknown"]),
        (&["inland"], &[], &[], &["north", "south"]),
        (&[], &["sea"], &[], &["coast"]),
        (&["inland", "sea"], &["sea"], &[], &["coast"]),
        (&["inland"], &["sea"], &[], &[]),
        (&["nowhere"], &[], &[], &[]),
        (&[], &[], &["north"], &["south", "coast", "unknown"]),
        (&["inland"], &[], &["north"], &["south"]),
        (&["sea"], &[], &["coast", "south"], &[]),
    ];
    for (of_route, of_workspace, evacuated, expected) in rows {
        let allowed = regions(of_route).intersect(&regions(of_workspace));

        let zones = zones(&allowed, evacuated);

        assert_eq!(
            contained(&zones),
            expected,
            "{of_route:?} {of_workspace:?} {evacuated:?}"
        );
    }
}

/// Guards against an evacuation that ends because the store has come back from an earlier copy without its row, and against one
/// that never ends because the row stays missing.
#[test]
fn an_evacuation_that_an_earlier_copy_lacks_ends_only_if_it_stays_missing() {
    let now = Duration::from_secs(100);
    let later = now + Duration::from_secs(30);
    let mut kept = Evacuations::default();
    let mut ended = Evacuations::default();
    for evacuations in [&mut kept, &mut ended] {
        evacuations.order("north");
        evacuations.miss("north", now);
    }

    kept.order("north");

    assert!(ended.zones().contains("north"));
    assert_eq!(kept.end_missing(later), Vec::<String>::new());
    assert_eq!(ended.end_missing(later), ["north"]);
    assert!(kept.zones().contains("north") && !ended.zones().contains("north"));
}

/// Guards against an order that is lost or doubled when order and withdrawal of two zones cross.
#[test]
fn each_zone_is_evacuated_by_its_last_order() {
    let mut evacuations = Evacuations::default();

    evacuations.order("north");
    evacuations.order("coast");
    evacuations.cancel("north");
    evacuations.order("north");
    evacuations.cancel("coast");
    evacuations.cancel("south");

    let zones: Vec<&String> = evacuations.zones().iter().collect();
    assert_eq!(zones, ["north"]);
}

/// Returns a configuration whose route allows these regions.
fn parts_with(version: u64, names: &[&str]) -> Parts {
    let mut route = route(Kind::Once, 1);
    route.regions = regions(names);
    Parts {
        version,
        ..parts(route)
    }
}

fn in_zone(record: Record, zone: &str) -> Record {
    Record {
        zone: Arc::from(zone),
        ..record
    }
}

/// Starts an entry with a server in the zone `north` and one in the zone `coast`.
fn start(parts: Parts, north: &Server, coast: &Server) -> Entry {
    let entry = Entry::start(parts, &[]);
    for (id, server, zone) in [("i-north", north, "north"), ("i-coast", coast, "coast")] {
        let record = in_zone(support::record(id, server.address), zone);
        let put = |pool: &mut pistachiolug_gateway::pool::Pool| {
            pool.put(record, support::POSITION, Duration::ZERO)
        };
        entry.state.with_pool(put);
    }
    entry
}

async fn server(body: &str) -> Server {
    Server::start(vec![Action::Write(answer("a", "200 OK", body)); 20]).await
}

/// Guards against a request that is served outside the regions of its route, also after the list has changed.
#[test]
fn requests_go_only_to_servers_of_the_regions_in_force() {
    run(async {
        let (north, coast) = (server("from north").await, server("from coast").await);
        let entry = start(parts_with(1, &["sea"]), &north, &coast);

        let mut before = Vec::new();
        for _ in 0..8 {
            before.push(entry.call(&request("a")).await);
        }
        entry
            .state
            .set_config(Config::new(parts_with(2, &["inland"])));
        let after = entry.call(&request("a")).await;

        assert!(
            before.iter().all(|answer| answer.contains("from coast")),
            "{before:?}"
        );
        assert!(after.contains("from north"), "{after}");
    });
}

/// Guards against requests of which it is known that nobody can serve them and that wait all the same, or are said to have run.
#[test]
fn requests_without_a_server_in_their_regions_are_refused_with_a_time_to_come_back() {
    run(async {
        let (north, coast) = (server("from north").await, server("from coast").await);
        let entry = start(parts_with(1, &["nowhere"]), &north, &coast);

        let answer = entry.call(&request("a")).await;

        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(
            answer.to_ascii_lowercase().contains("retry-after"),
            "{answer}"
        );
        assert_eq!(north.arrivals() + coast.arrivals(), 0);
    });
}

/// Guards against requests that reach servers of an evacuated zone, and against a zone that stays empty after the order was taken
/// back.
#[test]
fn servers_of_an_evacuated_zone_get_no_requests_until_the_order_is_taken_back() {
    run(async {
        let (north, coast) = (server("from north").await, server("from coast").await);
        let entry = start(parts_with(1, &[]), &north, &coast);

        entry.state.evacuate("north");
        let mut evacuated = Vec::new();
        for _ in 0..8 {
            evacuated.push(entry.call(&request("a")).await);
        }
        entry.state.evacuate("coast");
        let both = entry.call(&request("a")).await;
        entry.state.cancel_evacuation("north", false);
        let back = entry.call(&request("a")).await;

        assert!(
            evacuated.iter().all(|answer| answer.contains("from coast")),
            "{evacuated:?}"
        );
        assert!(both.starts_with("HTTP/1.1 503"), "{both}");
        assert!(back.contains("from north"), "{back}");
    });
}
