//! Operator commands against a running deployment, and what they and the logs never show.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use pistachiolug_bench::rig::{
    deployment::{Deployment, PAID_KEY, SECRET, Size},
    port,
    process::{Process, find_program},
};
use pistachiolug_http::{client::Client, secret};
use serde_json::{Value, json};

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(60);

/// Text of a caller that must stay between the caller and the engine.
const PROMPT: &str = "forty kilos of ravioli";

async fn deployment() -> Deployment {
    let deployment = Deployment::start(&Size::new(2, 1, 1)).await;
    let deployment = deployment.expect("deployment starts");
    deployment.prepare("v1").await.expect("version serves");
    deployment
}

/// Folder that is removed in the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("folder can be made");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("file can be written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn operator_settings(folder: &Folder, deployment: &Deployment) -> PathBuf {
    let secret = folder.write("secret", &format!("{SECRET}\n"));
    let text = json!({
        "key_value": format!("http://{}", deployment.kv),
        "instances": format!("http://{}", deployment.directory),
        "secret_file": secret,
    });
    folder.write("operator.jsonc", &text.to_string())
}

fn run(settings: &Path, args: &[&str]) -> Output {
    Command::new(find_program("pistachiolug").expect("program is built"))
        .args(args)
        .arg("--settings")
        .arg(settings)
        .env_remove("PISTACHIOLUG_SECRET")
        .output()
        .expect("program runs")
}

fn succeed(settings: &Path, args: &[&str]) -> String {
    let output = run(settings, args);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{args:?}: {errors}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn succeed_json(settings: &Path, args: &[&str]) -> Value {
    serde_json::from_str(&succeed(settings, args)).expect("output is JSON")
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_lists_instances_and_states() {
    let deployment = deployment().await;
    let folder = Folder::new("pistachiolug-operator");
    let settings = operator_settings(&folder, &deployment);

    let lists = succeed_json(&settings, &["lists", "--wait", "60", "--json"]);
    assert_eq!(lists["in_force"], true, "{lists}");
    assert_eq!(lists["places"][0]["instances"], 4, "{lists}");
    let text = succeed(&settings, &["lists"]);
    assert!(text.starts_with("accepted revision"), "{text}");

    let members = succeed_json(&settings, &["status", "--json"]);
    let members = members.as_array().expect("members are a list");
    assert_eq!(members.len(), 4);
    let phases = members.iter().map(|member| &member["state"]["phase"]);
    assert!(
        phases.into_iter().all(|phase| phase == "running"),
        "{members:?}"
    );
    let text = succeed(&settings, &["status"]);
    assert!(
        text.contains("entry-0") && text.contains("booking-0"),
        "{text}"
    );

    let address = deployment.agents[0].internal.to_string();
    let dump = succeed_json(&settings, &["dump", &address]);
    assert_eq!(dump["instance"], "assistant-0");

    let refused = run(
        &settings,
        &["lists", "--revision", "4000000000", "--wait", "0"],
    );
    assert_eq!(
        refused.status.code(),
        Some(6),
        "a revision that never comes"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn rollouts_show_as_lines_and_end() {
    let deployment = deployment().await;
    let folder = Folder::new("pistachiolug-rollout");
    let settings = operator_settings(&folder, &deployment);
    deployment.roll_out("v2").await.expect("version is wanted");
    deployment
        .wait_for_version("v2")
        .await
        .expect("version serves");

    let lines = succeed(&settings, &["status", "--follow", "60"]);

    let last = lines.lines().last().unwrap_or_default();
    let expected = "pasta v2: serves on 2 of 2 instances, 400000 of 400000 bytes";
    assert_eq!(last, expected, "{lines}");
    let text = succeed(&settings, &["status"]);
    assert!(text.contains("pasta=v2:serving"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_secret_is_refused() {
    let deployment = deployment().await;
    let folder = Folder::new("pistachiolug-wrong-secret");
    let settings = operator_settings(&folder, &deployment);
    folder.write("secret", "another");

    let address = deployment.agents[0].internal.to_string();
    let output = run(&settings, &["dump", &address]);

    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("401"));
}

#[tokio::test(flavor = "multi_thread")]
async fn internal_ports_ask_for_the_secret_but_for_health() {
    let deployment = deployment().await;
    let client = Client::new(0);
    let get = async |address: SocketAddr, path: &str, shown: Option<&str>| {
        let mut request = Request::get(format!("http://{address}{path}"));
        if let Some(shown) = shown {
            request = request.header(secret::HEADER, shown);
        }
        let request = request.body(Bytes::new()).expect("request is well formed");
        let reply = client.fetch(request, 1 << 20, PATIENCE).await;
        reply.expect("process answers").status().as_u16()
    };
    let longer = format!("{SECRET}x");
    let cases = [
        ("/healthz", None, 200),
        ("/readyz", None, 200),
        ("/metrics", None, 401),
        ("/debug/state", None, 401),
        ("/internal/call", None, 401),
        ("/metrics", Some("another"), 401),
        ("/metrics", Some(""), 401),
        ("/metrics", Some(longer.as_str()), 401),
        ("/metrics", Some(SECRET), 200),
        ("/debug/state", Some(SECRET), 200),
        ("/nowhere", Some(SECRET), 404),
    ];
    for daemon in deployment.agents.iter().chain(&deployment.entries) {
        for (path, shown, status) in cases {
            let answered = get(daemon.internal, path, shown).await;
            assert_eq!(answered, status, "{} {path} {shown:?}", daemon.name);
        }
    }
}

/// Starts one more entry that logs at a level; returns its internal and its callers' address.
fn entry_at(
    level: &str,
    folder: &Folder,
    deployment: &Deployment,
) -> (Process, SocketAddr, SocketAddr) {
    let internal = port::reserve().expect("a port is free");
    let callers = port::reserve().expect("a port is free");
    let settings = json!({
        "instance": "entry-more", "region": "gauteng", "zone": "midrand",
        "internal": internal, "callers": callers, "log_level": level,
        "platform": {
            "key_value": format!("http://{}", deployment.kv),
            "instances": format!("http://{}", deployment.directory),
            "origin": format!("http://{}", deployment.origin),
        },
    });
    let path = folder.write("entry.jsonc", &settings.to_string());
    let args = ["entry".to_owned(), path.display().to_string()];
    let log = folder.0.join("entry.log");
    let program = find_program("pistachiolug").expect("program is built");
    let process = Process::start(&program, &args, &log, SECRET).expect("entry starts");
    (process, internal, callers)
}

/// Checks that the operators' page has each metric of a text in Prometheus' format.
fn assert_documented(metrics: &str) {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("the page is there");
    let types = metrics
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "));
    let names = types.filter_map(|line| line.split_whitespace().next());
    let missing: Vec<&str> = names
        .filter(|name| !page.contains(&format!("| `{name}` |")))
        .collect();
    assert_eq!(
        missing,
        Vec::<&str>::new(),
        "docs/OPERATIONS.md lacks these metrics"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn dumps_metrics_and_logs_show_no_secret_key_or_content() {
    let deployment = deployment().await;
    let folder = Folder::new("pistachiolug-secrets");
    let (entry, internal, callers) = entry_at("trace", &folder, &deployment);
    let body = json!({
        "model": "pasta", "max_tokens": 4,
        "messages": [{ "role": "user", "content": PROMPT }],
    });
    let call = async |key| {
        let path = "/v1/chat/completions";
        let sent = deployment
            .http
            .send(Method::POST, callers, path, Some(key), body.to_string());
        sent.await
            .map_or(StatusCode::SERVICE_UNAVAILABLE, |reply| reply.status())
    };
    tokio::time::timeout(PATIENCE, async {
        while call(PAID_KEY).await != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await
    .expect("a call is answered in the end");
    assert_eq!(call("stranger-key").await, StatusCode::UNAUTHORIZED);

    let mut shown = fs::read_to_string(folder.0.join("entry.log")).expect("log can be read");
    let agents = deployment.agents.iter().map(|agent| agent.internal);
    for address in agents.chain([internal]) {
        for path in ["/debug/state", "/metrics"] {
            let sent = deployment
                .http
                .send(Method::GET, address, path, None, "")
                .await;
            let reply = sent.expect("process answers");
            assert_eq!(reply.status(), StatusCode::OK, "{path}");
            shown.push_str(&String::from_utf8_lossy(reply.body()));
        }
    }
    drop(entry);

    assert_documented(&shown);
    assert!(shown.contains("entry runs"), "the log was read");
    for hidden in [SECRET, PAID_KEY, "stranger-key", PROMPT] {
        assert!(!shown.contains(hidden), "`{hidden}` is shown");
    }
    let lines = fs::read_to_string(folder.0.join("entry.log")).expect("log can be read");
    for line in lines.lines() {
        serde_json::from_str::<Value>(line).unwrap_or_else(|error| panic!("{error}: {line}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn levels_decide_what_is_logged() {
    let deployment = Deployment::start(&Size::new(0, 0, 1)).await;
    let deployment = deployment.expect("deployment starts");
    for (level, logs_start) in [("error", false), ("info", true)] {
        let folder = Folder::new(&format!("pistachiolug-level-{level}"));
        let (mut entry, internal, _) = entry_at(level, &folder, &deployment);
        let ready = async {
            let ask = || {
                deployment
                    .http
                    .send(Method::GET, internal, "/healthz", None, "")
            };
            while ask().await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let ready = tokio::time::timeout(PATIENCE, ready).await;
        ready.expect("the entry starts");
        entry.signal("TERM").expect("signal is sent");
        while entry.try_wait().expect("child is ours").is_none() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }

        let log = fs::read_to_string(folder.0.join("entry.log")).expect("log can be read");

        assert_eq!(
            log.contains("\"level\":\"INFO\""),
            logs_start,
            "{level}: {log}"
        );
    }
}
