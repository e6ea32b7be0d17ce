//! Reports on where a request would go: candidates, exclusions and the answer of admission control.

#![allow(clippy::unwrap_used)]

mod support;

use std::{rc::Rc, sync::Arc, time::Duration};

use pistachiolug_gateway::{
    config::{Config, Kind},
    explain::{self, Refusal},
    placement::Regions,
    pool::Requirements,
    server::Record,
    state::State,
};
use serde_json::Value;

use support::{
    MODEL, POSITION, deployment::Deployment, metrics, options, parts, record, route, run,
};

/// Fields of a request that the entry may place.
const QUERY: &str = "host=desk.example&path=%2Fbook%2F1&workspace=delis&tokens=900%2C80";

fn numbered(index: u8) -> Record {
    let address = format!("10.0.0.{index}:80").parse().unwrap();
    record(&format!("i-{index}"), address)
}

fn state(records: Vec<Record>) -> Rc<State> {
    let state = State::new(options(), metrics());
    let mut route = route(Kind::Stream, 1);
    route.shares_prompts = true;
    route.regions = Regions::new(["inland".to_owned()]);
    state.set_config(Config::new(parts(route)));
    for record in records {
        state.with_pool(|pool| pool.put(record, POSITION, Duration::ZERO));
    }
    state
}

fn query() -> String {
    format!("{QUERY}&model={MODEL}&prefix=5c1e%3A800%2Csecret-part%3A100")
}

fn server<'a>(report: &'a Value, id: &str) -> &'a Value {
    let servers = report["servers"].as_array().unwrap();
    servers.iter().find(|server| server["id"] == id).unwrap()
}

/// Guards against reports that differ from the placement: each excluded server has its reason, the others have their costs.
#[test]
fn the_report_tells_what_excludes_servers_and_what_the_others_cost() {
    let far = Record {
        zone: "coast".into(),
        ..numbered(2)
    };
    let draining = Record {
        leaving: true,
        ..numbered(3)
    };
    let empty = Record {
        models: Vec::new(),
        ..numbered(4)
    };
    let other_zone = Record {
        zone: "south".into(),
        ..numbered(6)
    };
    let state = state(vec![
        numbered(1),
        far,
        draining,
        empty,
        numbered(5),
        other_zone,
        numbered(7),
    ]);
    let now = state.now();
    state.with_pool(|pool| {
        pool.record_failure("i-5", now);
        (0..8).for_each(|_| pool.start_request("i-7", 0));
    });

    let report = explain::report(&state, &query()).unwrap();

    let excluded = |id| server(&report, id)["excluded"].as_str();
    assert_eq!(excluded("i-1"), None);
    assert_eq!(excluded("i-2"), Some("zone not allowed or evacuated"));
    assert_eq!(excluded("i-3"), Some("draining"));
    assert_eq!(excluded("i-4"), Some("no allowed version"));
    assert_eq!(
        excluded("i-5"),
        Some("avoided after a failure, a refusal or during a load")
    );
    assert_eq!(excluded("i-6"), None);
    assert_eq!(excluded("i-7"), Some("no free slot"));
    let distance = |id| server(&report, id)["cost"]["distance_ms"].as_f64().unwrap();
    assert!(distance("i-6") > distance("i-1"));
    assert_eq!(report["decision"], "place");
    let chosen = |id| server(&report, id)["chosen"].as_u64().unwrap();
    assert_eq!(chosen("i-1") + chosen("i-6"), 64);
    assert_eq!(report["service"], support::SERVICE);
    assert_eq!(report["workspace"], "delis");
}

/// Guards against reports without the answer of admission control where no slot is free.
#[test]
fn the_report_of_a_full_service_has_the_answer_of_admission_control() {
    let state = state(vec![numbered(1)]);
    state.with_pool(|pool| (0..8).for_each(|_| pool.start_request("i-1", 0)));

    let report = explain::report(&state, &query()).unwrap();

    assert_eq!(report["decision"], "wait");
    assert_eq!(report["admission"]["servable"], true);
    assert!(report["admission"]["max_wait_ms"].as_u64().unwrap() > 0);
}

/// Guards against a report that changes what it reports: open requests, servers' work, demands, or the retry budget.
#[test]
fn a_report_changes_nothing() {
    let state = state(vec![numbered(1), numbered(2)]);
    let before = state.dump();

    for _ in 0..10 {
        explain::report(&state, &query()).unwrap();
    }

    assert_eq!(state.dump(), before);
    assert_eq!(state.count_open_requests(), 0);
    let work = state.with_pool(|pool| pool.own_work());
    assert!(work.is_empty(), "{work:?}");
    assert_eq!(state.with_pool(|pool| pool.take_demands(state.now())), []);
    let requirements = Requirements {
        service: Arc::from(support::SERVICE),
        ..Requirements::default()
    };
    let rates = state.slot_rates(&requirements);
    assert!(rates.first_attempts_per_second <= 0.0, "{rates:?}");
}

/// Guards against keys and parts of prompts in reports, which operators pass on.
#[test]
fn a_report_has_no_key_and_no_part_of_the_prompt() {
    let state = state(vec![numbered(1)]);

    let report = explain::report(&state, &query()).unwrap().to_string();

    for secret in ["key-1", "secret-part", "5c1e"] {
        assert!(!report.contains(secret), "{report}");
    }
}

/// Guards against reports on requests that the entry would not place, and against malformed queries that end the process.
#[test]
fn queries_without_a_request_are_refused() {
    let state = state(vec![numbered(1)]);
    let rows = [
        ("", Refusal::NoRoute),
        ("host=desk.example&path=/other", Refusal::NoRoute),
        ("host=desk.example&path=/book/1", Refusal::NoWorkspace),
        (
            "host=desk.example&path=/book/1&workspace=key-1",
            Refusal::NoWorkspace,
        ),
        (
            "host=desk.example&path=/book/1&workspace=delis&service=none",
            Refusal::NoService,
        ),
        (
            "host=desk.example&path=/book/1&workspace=delis&model=%0a",
            Refusal::Malformed,
        ),
        ("host=%&path=%f&workspace=%zz&%=%", Refusal::NoRoute),
    ];
    for (query, expected) in rows {
        let refusal = explain::report(&state, query).unwrap_err();

        assert_eq!(refusal, expected, "{query}");
    }
    let starting = State::new(options(), metrics());
    assert_eq!(
        explain::report(&starting, QUERY).unwrap_err(),
        Refusal::Starting
    );
}

/// Guards against a path that the internal port of an entry does not serve, and against a report that sends the request.
#[test]
fn an_entry_serves_the_report_at_its_internal_port() {
    run(async {
        let deployment = Deployment::start(Kind::Idempotent, 2, 1, 3).await;
        let get = |query: &str| {
            format!("GET /debug/explain?{query} HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n")
        };

        let found = deployment.call_internal(0, &get(QUERY)).await;
        let missing = deployment.call_internal(0, &get("host=other")).await;

        let (head, body) = found.split_once("\r\n\r\n").unwrap();
        let report: Value = serde_json::from_str(body).unwrap();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(report["servers"].as_array().unwrap().len(), 3);
        assert!(missing.starts_with("HTTP/1.1 404"), "{missing}");
        assert_eq!(deployment.arrivals(""), 0);
    });
}
