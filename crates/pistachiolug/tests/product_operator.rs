//! Operator commands against a running deployment, and content that dumps, metrics and logs must not show.

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

/// Timeout of a request or a condition.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Prompt of a caller, which only the engine may see.
const PROMPT: &str = "forty kilos of ravioli";

/// Starts a deployment with two model agents, one plain agent and one entry, which serves version `v1`.
async fn deployment() -> Deployment {
    let deployment = Deployment::start(&Size::new(2, 1, 1)).await;
    let deployment = deployment.expect("deployment starts");
    deployment.prepare("v1").await.expect("version serves");
    deployment
}

/// Temporary folder, which is removed when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("folder is created");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("file is written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Writes the operator's settings for a deployment and returns their path.
fn operator_settings(folder: &Folder, deployment: &Deployment) -> PathBuf {
    let secret = folder.write("secret", &format!("{SECRET}\n"));
    let text = json!({
        "key_value": format!("http://{}", deployment.kv),
        "instances": format!("http://{}", deployment.directory),
        "secret_file": secret,
    });
    folder.write("operator.jsonc", &text.to_string())
}

/// Runs a command with the operator's settings.
fn run(settings: &Path, args: &[&str]) -> Output {
    Command::new(find_program("pistachiolug").expect("program is built"))
        .args(args)
        .arg("--settings")
        .arg(settings)
        .env_remove("PISTACHIOLUG_SECRET")
        .output()
        .expect("program runs")
}

/// Runs a command that must succeed, and returns its standard output.
fn run_successfully(settings: &Path, args: &[&str]) -> String {
    let output = run(settings, args);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{args:?}: {errors}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Runs a command that must succeed, and parses its standard output as JSON.
fn run_json(settings: &Path, args: &[&str]) -> Value {
    serde_json::from_str(&run_successfully(settings, args)).expect("output is JSON")
}

/// `lists`, `status` and `dump` must read all processes of a deployment, and `lists --wait` must end with its own exit
/// code if the revision does not come.
#[tokio::test(flavor = "multi_thread")]
async fn commands_show_lists_instances_and_states() {
    let deployment = deployment().await;
    let folder = Folder::new("pistachiolug-operator");
    let settings = operator_settings(&folder, &deployment);

    let lists = run_json(&settings, &["lists", "--wait", "60", "--json"]);
    assert_eq!(lists["in_force"], true, "{lists}");
    assert_eq!(lists["places"][0]["instances"], 4, "{lists}");
    let text = run_successfully(&settings, &["lists"]);
    assert!(text.starts_with("accepted revision"), "{text}");

    let members = run_json(&settings, &["status", "--json"]);
    let members = members.as_array().expect("members are an array");
    assert_eq!(members.len(), 4);
    let phases = members.iter().map(|member| &member["state"]["phase"]);
    assert!(
        phases.into_iter().all(|phase| phase == "running"),
        "{members:?}"
    );
    let text = run_successfully(&settings, &["status"]);
    assert!(
        text.contains("entry-0") && text.contains("booking-0"),
        "{text}"
    );

    let address = deployment.agents[0].internal.to_string();
    let dump = run_json(&settings, &["dump", &address]);
    assert_eq!(dump["instance"], "assistant-0");

    let timed_out = run(
        &settings,
        &["lists", "--revision", "4000000000", "--wait", "0"],
    );
    assert_eq!(
        timed_out.status.code(),
        Some(6),
        "the revision does not exist"
    );
}

/// `status --follow` must end once all instances serve the version, and its last line must say so.
#[tokio::test(flavor = "multi_thread")]
async fn following_ends_when_the_roll_out_is_finished() {
    let deployment = deployment().await;
    let folder = Folder::new("pistachiolug-rollout");
    let settings = operator_settings(&folder, &deployment);
    deployment
        .roll_out("v2")
        .await
        .expect("target version is set");
    deployment
        .wait_for_version("v2")
        .await
        .expect("version serves");

    let lines = run_successfully(&settings, &["status", "--follow", "60"]);

    let last = lines.lines().last().unwrap_or_default();
    let expected = "pasta v2: serves on 2 of 2 instances, 400000 of 400000 bytes";
    assert_eq!(last, expected, "{lines}");
    let text = run_successfully(&settings, &["status"]);
    assert!(text.contains("pasta=v2:serving"), "{text}");
}

/// Without the deployment's secret, nobody may read the state of a process.
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

/// All paths of internal ports but health and readiness must check the whole secret; one that only compared a prefix
/// would accept a longer one.
#[tokio::test(flavor = "multi_thread")]
async fn internal_ports_require_the_secret_except_for_health() {
    let deployment = deployment().await;
    let client = Client::new(0);
    let get = async |address: SocketAddr, path: &str, sent_secret: Option<&str>| {
        let mut request = Request::get(format!("http://{address}{path}"));
        if let Some(sent_secret) = sent_secret {
            request = request.header(secret::HEADER, sent_secret);
        }
        let request = request.body(Bytes::new()).expect("request is well formed");
        let reply = client.fetch(request, 1 << 20, TIMEOUT).await;
        reply.expect("process answers").status().as_u16()
    };
    let secret_with_suffix = format!("{SECRET}x");
    let cases = [
        ("/healthz", None, 200),
        ("/readyz", None, 200),
        ("/metrics", None, 401),
        ("/debug/state", None, 401),
        ("/internal/call", None, 401),
        ("/metrics", Some("another"), 401),
        ("/metrics", Some(""), 401),
        ("/metrics", Some(secret_with_suffix.as_str()), 401),
        ("/metrics", Some(SECRET), 200),
        ("/debug/state", Some(SECRET), 200),
        ("/nowhere", Some(SECRET), 404),
    ];
    for daemon in deployment.agents.iter().chain(&deployment.entries) {
        for (path, sent_secret, status) in cases {
            let actual = get(daemon.internal, path, sent_secret).await;
            assert_eq!(actual, status, "{} {path} {sent_secret:?}", daemon.name);
        }
    }
}

/// Starts another entry with a log level; returns the process, its internal address and its address for callers.
fn start_entry(
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

/// Asserts that docs/OPERATIONS.md describes each metric of a text in the Prometheus format.
fn assert_documented(metrics: &str) {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("docs/OPERATIONS.md is readable");
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

/// Secrets, keys and prompts must not reach state dumps, metrics or logs, even at the level `trace`. Every log line
/// must be JSON, and every metric must be documented.
#[tokio::test(flavor = "multi_thread")]
async fn dumps_metrics_and_logs_show_no_secret_key_or_content() {
    let deployment = deployment().await;
    let folder = Folder::new("pistachiolug-secrets");
    let (entry, internal, callers) = start_entry("trace", &folder, &deployment);
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
    tokio::time::timeout(TIMEOUT, async {
        while call(PAID_KEY).await != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await
    .expect("a call is answered");
    assert_eq!(call("stranger-key").await, StatusCode::UNAUTHORIZED);

    let mut output = fs::read_to_string(folder.0.join("entry.log")).expect("log is readable");
    let agents = deployment.agents.iter().map(|agent| agent.internal);
    for address in agents.chain([internal]) {
        for path in ["/debug/state", "/metrics"] {
            let sent = deployment
                .http
                .send(Method::GET, address, path, None, "")
                .await;
            let reply = sent.expect("process answers");
            assert_eq!(reply.status(), StatusCode::OK, "{path}");
            output.push_str(&String::from_utf8_lossy(reply.body()));
        }
    }
    drop(entry);

    assert_documented(&output);
    assert!(output.contains("entry started"), "the log is incomplete");
    for hidden in [SECRET, PAID_KEY, "stranger-key", PROMPT] {
        assert!(!output.contains(hidden), "`{hidden}` is shown");
    }
    let lines = fs::read_to_string(folder.0.join("entry.log")).expect("log is readable");
    for line in lines.lines() {
        serde_json::from_str::<Value>(line).unwrap_or_else(|error| panic!("{error}: {line}"));
    }
}

/// The level of the settings must reach the logger: `error` must hide the lines at `info` that a start logs.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_level_of_the_settings_applies() {
    let deployment = Deployment::start(&Size::new(0, 0, 1)).await;
    let deployment = deployment.expect("deployment starts");
    for (level, has_info_lines) in [("error", false), ("info", true)] {
        let folder = Folder::new(&format!("pistachiolug-level-{level}"));
        let (mut entry, internal, _) = start_entry(level, &folder, &deployment);
        let ready = async {
            let check_health = || {
                deployment
                    .http
                    .send(Method::GET, internal, "/healthz", None, "")
            };
            while check_health().await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let ready = tokio::time::timeout(TIMEOUT, ready).await;
        ready.expect("the entry starts");
        entry.signal("TERM").expect("signal is sent");
        while entry
            .try_wait()
            .expect("process is a child of the test")
            .is_none()
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }

        let log = fs::read_to_string(folder.0.join("entry.log")).expect("log is readable");

        assert_eq!(
            log.contains("\"level\":\"INFO\""),
            has_info_lines,
            "{level}: {log}"
        );
    }
}
