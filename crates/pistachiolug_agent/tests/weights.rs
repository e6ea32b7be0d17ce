//! Loader of one agent against an engine, an origin and faults of both.

mod script;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use pistachiolug_agent::{
    incarnation::Incarnation,
    weights::{
        self,
        activate::Fenced,
        metrics::Metrics,
        status::{Stage, Status},
        usage::{Counted, Usage},
    },
};
use pistachiolug_http::{client::Client, limit::Limit, secret::Secret, server::Server};
use pistachiolug_lists::{
    active::ActiveLists,
    lists::Lists,
    plan::{Model, Replicas},
    row::Row,
};
use pistachiolug_membership::view::View;
use pistachiolug_platform::{
    directory::Snapshot,
    engine::{Engine, Generate, State, http::Http},
    source,
};
use pistachiolug_standin::{
    engine::face::{Face, Speed},
    origin::Origin,
};
use pistachiolug_weights::{
    manifest::{self, Manifest},
    swarm::{Options, Swarm},
};
use pistachiolug_wire::{
    call,
    digest::Digest,
    instance::{Instance, Place, Role, State as Life},
};
use script::{Fault, Scripted};
use tokio::{task::JoinHandle, time::sleep};

const CHUNK_BYTES: usize = 4096;

/// Engine, origin and lists of one agent, which may be started twice.
struct Rig {
    engine: Scripted,
    origin: Origin,
    force: ActiveLists,
    view: View,
    usage: Usage,
    revision: u64,
    engine_address: SocketAddr,
    base: String,
    _servers: [Server; 2],
}

/// Loader of one agent process.
struct Agent {
    status: Status,
    task: JoinHandle<()>,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn serve<H: pistachiolug_http::server::Handler>(handler: H) -> Server {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Server::bind(address, 1, Limit::default(), handler).expect("port is free")
}

impl Rig {
    fn start() -> Self {
        let speed = Speed {
            first: Duration::from_millis(1),
            gap: Duration::from_millis(20),
        };
        let engine = serve(Face::new(speed, true));
        let origin = Origin::new(0);
        let server = serve(origin.clone());
        let client = Client::new(4);
        let inner = Http::new(client, &format!("http://{}", engine.address()));
        let view = View::default();
        view.replace(Snapshot {
            version: 1,
            instances: vec![instance()],
        });
        Self {
            engine: Scripted::new(inner),
            origin,
            force: ActiveLists::default(),
            view,
            usage: Usage::default(),
            revision: 0,
            engine_address: engine.address(),
            base: format!("http://{}", server.address()),
            _servers: [engine, server],
        }
    }

    fn agent(&self, number: u64, staging_bytes: u64) -> Agent {
        self.agent_of(self.engine.clone(), number, staging_bytes)
    }

    fn agent_of(&self, engine: Scripted, number: u64, staging_bytes: u64) -> Agent {
        let sources = vec![source::Http::new(Client::new(4), &self.base)];
        let options = Options {
            instance: "assistant-0".to_owned(),
            region: "gauteng".to_owned(),
            staging_bytes,
            ..Options::default()
        };
        let swarm = Swarm::new(options, Client::new(4), Secret::new("s"), sources.clone());
        let incarnation = Incarnation::default();
        incarnation.set(number);
        let status = Status::default();
        let parts = weights::Parts {
            engine: Counted::new(engine, self.usage.clone()),
            swarm,
            sources,
            force: self.force.clone(),
            view: self.view.clone(),
            service: "assistant".to_owned(),
            incarnation,
            guard: Fenced,
            usage: self.usage.clone(),
            status: status.clone(),
            metrics: Metrics::new(&prometheus::Registry::new()).expect("names are free"),
        };
        let task = tokio::spawn(weights::run(parts));
        Agent { status, task }
    }

    fn upload(&self, manifest: &Manifest, weights: &[u8]) -> Digest {
        for piece in weights.chunks(CHUNK_BYTES) {
            let name = manifest::chunk_object(&Digest::of(piece));
            self.origin.store(&name, Bytes::copy_from_slice(piece));
        }
        let text = manifest.render();
        let digest = Digest::of(&text);
        self.origin.store(&manifest::object(&digest), text.into());
        digest
    }

    fn want(&mut self, version: &str, seed: u8) {
        let weights = content(seed);
        let manifest = Manifest::build("pasta", version, &weights, CHUNK_BYTES);
        let digest = self.upload(&manifest, &weights);
        self.want_manifest(version, digest);
    }

    fn want_manifest(&mut self, version: &str, manifest: Digest) {
        let mut lists = Lists::default();
        lists.insert(Row::Model(Model {
            name: "pasta".to_owned(),
            service: "assistant".to_owned(),
            version: version.to_owned(),
            manifest,
            replicas: Replicas { least: 1, most: 1 },
            adapters: Vec::new(),
        }));
        self.revision += 1;
        lists.advance(self.revision);
        self.force.advance(Arc::new(lists));
    }

    async fn versions(&self) -> Vec<String> {
        let state = self.engine.state().await.unwrap_or_default();
        state
            .loaded
            .into_iter()
            .map(|loaded| loaded.version)
            .collect()
    }

    async fn wait_versions(&self, expected: &[&str]) -> State {
        for _ in 0..400 {
            if self.versions().await == expected {
                return self.engine.state().await.expect("engine answers");
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("engine has {:?}, not {expected:?}", self.versions().await);
    }

    async fn orders(&self) -> Vec<String> {
        let record = self.control(Method::GET, "/control/record").await;
        let record: serde_json::Value = serde_json::from_slice(&record).expect("record is JSON");
        let orders = record["orders"].as_array().expect("record has orders");
        orders
            .iter()
            .map(|order| order.as_str().unwrap_or_default().to_owned())
            .collect()
    }

    async fn control(&self, method: Method, path: &str) -> Bytes {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.engine_address))
            .body(Bytes::new())
            .expect("path is well formed");
        let client = Client::new(0);
        let sent = client
            .fetch(request, 1 << 20, Duration::from_secs(10))
            .await;
        sent.expect("engine answers").into_body()
    }
}

async fn wait_stage(agent: &Agent, done: impl Fn(&Stage) -> bool) {
    for _ in 0..400 {
        if agent
            .status
            .stage("pasta")
            .is_some_and(|stage| done(&stage))
        {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("stage stays {:?}", agent.status.stage("pasta"));
}

fn content(seed: u8) -> Vec<u8> {
    (0..40_000_u32)
        .map(|index| (index % 251) as u8 ^ seed)
        .collect()
}

fn instance() -> Instance {
    Instance {
        name: "assistant-0".to_owned(),
        role: Role::Agent,
        service: "assistant".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        place: Place {
            region: "gauteng".to_owned(),
            zone: "midrand".to_owned(),
        },
        state: Life::Live,
    }
}

const BUDGET: u64 = 1 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn a_wanted_version_is_loaded_by_one_order() {
    let mut rig = Rig::start();
    rig.want("v1", 1);

    let _agent = rig.agent(5, BUDGET);

    let state = rig.wait_versions(&["v1"]).await;
    assert_eq!(state.loaded[0].digest, Digest::of(&content(1)));
    assert_eq!(rig.orders().await, ["load pasta v1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_larger_than_the_budget_streams_through() {
    let mut rig = Rig::start();
    rig.want("v1", 1);

    let _agent = rig.agent(5, 10_000);

    let state = rig.wait_versions(&["v1"]).await;
    assert_eq!(state.loaded[0].digest, Digest::of(&content(1)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_version_is_refused_if_the_engine_takes_no_parts() {
    let mut rig = Rig::start();
    rig.engine.add(&[Fault::RefuseParts]);
    rig.want("v1", 1);

    let agent = rig.agent(5, 10_000);

    wait_stage(
        &agent,
        |stage| matches!(stage, Stage::Refused(finding) if finding.contains("takes no parts")),
    )
    .await;
}

/// Faults of the engine's answers to a load order, each overcome.
#[tokio::test(flavor = "multi_thread")]
async fn faults_of_load_orders_are_overcome() {
    for fault in [Fault::RefuseLoad, Fault::ForgetLoad, Fault::LoseAnswer] {
        let mut rig = Rig::start();
        rig.engine.add(&[fault]);
        rig.want("v1", 1);

        let _agent = rig.agent(5, BUDGET);

        rig.wait_versions(&["v1"]).await;
        assert_eq!(rig.orders().await, ["load pasta v1"], "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_old_version_leaves_after_its_last_call() {
    let mut rig = Rig::start();
    rig.want("v1", 1);
    let _agent = rig.agent(5, BUDGET);
    rig.wait_versions(&["v1"]).await;
    let engine = Counted::new(rig.engine.clone(), rig.usage.clone());
    let call = Generate {
        id: call::Id(7),
        path: "/v1/completions".to_owned(),
        body: Bytes::from_static(b"{\"max_tokens\":10000}"),
        version: "v1".to_owned(),
        priority: 0,
        reached: 0,
        prefix: String::new(),
    };
    let running = engine.generate(&call).await.expect("engine takes the call");

    rig.want("v2", 2);
    rig.wait_versions(&["v1", "v2"]).await;
    sleep(Duration::from_secs(4)).await;
    assert_eq!(rig.versions().await, ["v1", "v2"]);
    drop(running);

    rig.wait_versions(&["v2"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_back_is_editing_the_list_back() {
    let mut rig = Rig::start();
    rig.want("v1", 1);
    let _agent = rig.agent(5, BUDGET);
    rig.wait_versions(&["v1"]).await;
    rig.want("v2", 2);
    rig.wait_versions(&["v2"]).await;

    rig.want("v1", 1);

    let state = rig.wait_versions(&["v1"]).await;
    assert_eq!(state.loaded[0].digest, Digest::of(&content(1)));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_restarts_is_loaded_again() {
    let mut rig = Rig::start();
    rig.want("v1", 1);
    let _agent = rig.agent(5, BUDGET);
    rig.wait_versions(&["v1"]).await;
    let before = rig.origin.record().sent_bytes;

    rig.control(Method::POST, "/control/crash").await;
    while rig.orders().await.len() < 2 {
        sleep(Duration::from_millis(50)).await;
    }

    rig.wait_versions(&["v1"]).await;
    assert_eq!(rig.origin.record().sent_bytes, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_reads_the_engine_and_orders_nothing() {
    let mut rig = Rig::start();
    rig.want("v1", 1);
    drop({
        let agent = rig.agent(5, BUDGET);
        rig.wait_versions(&["v1"]).await;
        agent
    });

    let agent = rig.agent(6, BUDGET);

    wait_stage(&agent, |stage| *stage == Stage::Serving).await;
    assert_eq!(rig.orders().await, ["load pasta v1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_old_process_that_wakes_orders_nothing() {
    let mut rig = Rig::start();
    rig.want("v1", 1);
    let _new = rig.agent(9, BUDGET);
    rig.wait_versions(&["v1"]).await;

    // It does not see the newer number in the engine's account, so that only the engine's check stops it.
    let old = rig.agent_of(rig.engine.blind(), 5, BUDGET);

    wait_stage(&old, |stage| {
        *stage == Stage::Loading || *stage == Stage::Pulling
    })
    .await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(rig.versions().await, ["v1"]);
    assert_eq!(rig.orders().await, ["load pasta v1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_manifest_for_a_served_version_is_refused() {
    let mut rig = Rig::start();
    rig.want("v1", 1);
    let agent = rig.agent(5, BUDGET);
    rig.wait_versions(&["v1"]).await;
    wait_stage(&agent, |stage| *stage == Stage::Serving).await;

    rig.want("v1", 2);

    wait_stage(&agent, |stage| matches!(stage, Stage::Refused(_))).await;
    let state = rig.wait_versions(&["v1"]).await;
    assert_eq!(state.loaded[0].digest, Digest::of(&content(1)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_manifest_whose_whole_digest_is_wrong_is_refused() {
    let mut rig = Rig::start();
    let weights = content(1);
    let mut manifest = Manifest::build("pasta", "v1", &weights, CHUNK_BYTES);
    manifest.digest = Digest::of(b"other");
    let digest = rig.upload(&manifest, &weights);
    rig.want_manifest("v1", digest);

    let agent = rig.agent(5, BUDGET);

    wait_stage(&agent, |stage| matches!(stage, Stage::Refused(_))).await;
    assert!(rig.versions().await.is_empty());
}

#[test]
fn counters_of_all_interfaces_but_loopback_are_summed() {
    let counters = "Inter-| Receive | Transmit\n face |bytes packets\n\
        lo: 7 1 0 0 0 0 0 0 7 1 0 0 0 0 0 0\n\
        eth0: 100 1 0 0 0 0 0 0 40 1 0 0 0 0 0 0\n\
        eth1:5 1 0 0 0 0 0 0 2 1 0 0 0 0 0 0\n";

    let bytes = weights::link::parse(counters);

    assert_eq!((bytes.down, bytes.up), (105, 42));
}
