//! `apply` against the key-value stand-in: dry runs, racing operators, conflicts, refusals.

use std::{
    fs,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Command, Output},
    time::Duration,
};

use pistachiolug_bench::rig::{
    port,
    process::{Process, find_program},
};
use pistachiolug_lists::row;
use pistachiolug_platform::kv::{Store, etcd::Etcd};
use serde_json::{Value, json};

const SECRET: &str = "apply-secret";

/// Looks at a process that starts before it counts as failed.
const LOOKS: u32 = 500;

/// Key-value stand-in with a folder for operators' checkouts.
struct Service {
    address: SocketAddr,
    folder: PathBuf,
    _process: Process,
}

/// One operator's checkout of the two lists.
struct Checkout(PathBuf);

impl Service {
    fn start(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("pistachiolug-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("folder can be made");
        let address = port::reserve().expect("a port is free");
        let listen = address.to_string();
        let args = ["standin", "kv", "--listen", &listen].map(str::to_owned);
        let program = find_program("pistachiolug-bench").expect("program is built");
        let process = Process::start(&program, &args, &folder.join("kv.log"), SECRET);
        for _ in 0..LOOKS {
            if TcpStream::connect(address).is_ok() {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let settings = json!({
            "key_value": format!("http://{address}"),
            "instances": format!("http://{address}"),
        });
        fs::write(folder.join("operator.jsonc"), settings.to_string())
            .expect("settings are written");
        Self {
            address,
            folder,
            _process: process.expect("stand-in starts"),
        }
    }

    fn checkout(&self, operator: &str) -> Checkout {
        let folder = self.folder.join(operator);
        fs::create_dir_all(&folder).expect("folder can be made");
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/karoo");
        for name in ["customers.jsonc", "plans.jsonc"] {
            fs::copy(samples.join(name), folder.join(name)).expect("samples are there");
        }
        Checkout(folder)
    }

    fn apply(&self, checkout: &Checkout, more: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_pistachiolug"))
            .arg("apply")
            .arg(checkout.0.join("customers.jsonc"))
            .arg(checkout.0.join("plans.jsonc"))
            .arg("--settings")
            .arg(self.folder.join("operator.jsonc"))
            .args(more)
            .env("PISTACHIOLUG_SECRET", SECRET)
            .output()
            .expect("program runs")
    }

    async fn rows(&self) -> Vec<(String, Value)> {
        let client = pistachiolug_http::client::Client::new(0);
        let store = Etcd::new(client, &format!("http://{}", self.address));
        let range = store.range(row::PREFIX).await.expect("stand-in answers");
        let entries = range.entries.into_iter();
        entries
            .map(|entry| {
                let value = serde_json::from_slice(&entry.value).expect("rows are JSON");
                (entry.key, value)
            })
            .collect()
    }

    async fn row(&self, name: &str) -> String {
        let key = format!("{}{name}", row::PREFIX);
        let rows = self.rows().await;
        let row = rows.into_iter().find(|(found, _)| *found == key);
        row.map_or_else(String::new, |(_, value)| value.to_string())
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Checkout {
    fn edit(&self, file: &str, from: &str, to: &str) {
        let path = self.0.join(file);
        let text = fs::read_to_string(&path).expect("list can be read");
        assert!(text.contains(from), "edit of `{from}` is stale");
        fs::write(&path, text.replacen(from, to, 1)).expect("list can be written");
    }

    /// Takes another checkout's lists and base, as a pull from version control does.
    fn pull(&self, other: &Self) {
        for name in ["customers.jsonc", "plans.jsonc", "lists.applied.json"] {
            fs::copy(other.0.join(name), self.0.join(name)).expect("files are there");
        }
    }
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("program ends by itself")
}

fn text(output: &Output) -> String {
    let bytes = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&bytes).into_owned()
}

#[tokio::test]
async fn dry_runs_show_rows_and_write_nothing() {
    let service = Service::start("dry-run");
    let checkout = service.checkout("anna");

    let dry = service.apply(&checkout, &["--dry-run"]);
    assert_eq!(code(&dry), 0, "{}", text(&dry));
    assert!(
        text(&dry).contains("add customer `delis`"),
        "{}",
        text(&dry)
    );
    assert_eq!(service.rows().await, Vec::new());
    assert!(!checkout.0.join("lists.applied.json").exists());

    let json = service.apply(&checkout, &["--dry-run", "--json"]);
    let report: Value = serde_json::from_slice(&json.stdout).expect("report is JSON");
    assert_eq!(report["dry_run"], true);
    assert_eq!(
        report["rows"].as_array().map(Vec::len),
        Some(10),
        "{report}"
    );
}

#[tokio::test]
async fn applied_lists_are_in_the_service_once() {
    let service = Service::start("once");
    let checkout = service.checkout("anna");

    let first = service.apply(&checkout, &[]);
    let rows = service.rows().await;
    let second = service.apply(&checkout, &[]);

    assert_eq!(code(&first), 0, "{}", text(&first));
    assert_eq!(rows.len(), 10);
    assert_eq!(code(&second), 0, "{}", text(&second));
    assert!(
        text(&second).contains("nothing to change"),
        "{}",
        text(&second)
    );
    assert_eq!(service.rows().await, rows);
}

#[tokio::test]
async fn racing_operators_keep_each_others_rows() {
    let service = Service::start("race");
    let (anna, ben) = (service.checkout("anna"), service.checkout("ben"));
    assert_eq!(code(&service.apply(&anna, &[])), 0);
    ben.pull(&anna);

    anna.edit("plans.jsonc", "\"share\": 6", "\"share\": 7");
    ben.edit(
        "customers.jsonc",
        "\"tokens_per_minute\": 20000",
        "\"tokens_per_minute\": 9000",
    );
    let (first, second) = (service.apply(&anna, &[]), service.apply(&ben, &[]));

    assert_eq!((code(&first), code(&second)), (0, 0), "{}", text(&second));
    assert!(service.row("plans/kitchen").await.contains("\"share\":7"));
    let trial = service.row("customers/new-restaurants").await;
    assert!(trial.contains("9000"), "{trial}");
}

#[tokio::test]
async fn conflicts_are_reported_and_overwrite_nothing() {
    let service = Service::start("conflict");
    let (anna, ben) = (service.checkout("anna"), service.checkout("ben"));
    assert_eq!(code(&service.apply(&anna, &[])), 0);
    ben.pull(&anna);
    anna.edit("plans.jsonc", "\"share\": 6", "\"share\": 7");
    ben.edit("plans.jsonc", "\"share\": 6", "\"share\": 5");
    assert_eq!(code(&service.apply(&anna, &["--author", "anna"])), 0);

    let refused = service.apply(&ben, &[]);
    assert_eq!(code(&refused), 5, "{}", text(&refused));
    assert!(
        text(&refused).contains("conflict on plan `kitchen`"),
        "{}",
        text(&refused)
    );
    assert!(text(&refused).contains("by anna"), "{}", text(&refused));
    assert!(service.row("plans/kitchen").await.contains("\"share\":7"));

    let preferred = service.apply(&ben, &["--prefer", "plans/kitchen"]);
    assert_eq!(code(&preferred), 0, "{}", text(&preferred));
    assert!(service.row("plans/kitchen").await.contains("\"share\":5"));
}

#[tokio::test]
async fn bad_lists_change_nothing() {
    let service = Service::start("bad");
    let checkout = service.checkout("anna");
    assert_eq!(code(&service.apply(&checkout, &[])), 0);
    let before = service.rows().await;
    let cases = [
        (
            "customers.jsonc",
            "\"plan\": \"kitchen\"",
            "\"plan\": \"kitchin\"",
            "kitchin",
        ),
        (
            "customers.jsonc",
            "\"keys\"",
            "\"kees\"",
            "did you mean `keys`?",
        ),
        ("plans.jsonc", "\"share\": 6", "\"share\": \"six\"", "share"),
        (
            "plans.jsonc",
            "\"models\": [\"pasta-assistant\"]",
            "\"models\": [\"rice\"]",
            "rice",
        ),
    ];

    for (file, from, to, named) in cases {
        let checkout = service.checkout("anna");
        checkout.edit(file, from, to);
        let output = service.apply(&checkout, &[]);

        assert_eq!(code(&output), 1, "{to}: {}", text(&output));
        assert!(text(&output).contains(named), "{}", text(&output));
        assert!(
            text(&output).contains(&format!("{file}:")),
            "{}",
            text(&output)
        );
        assert_eq!(service.rows().await, before);
    }
}

#[test]
fn a_service_that_is_down_is_told_from_a_refusal() {
    let service = Service::start("down");
    let checkout = service.checkout("anna");
    let nowhere = json!({ "key_value": "http://127.0.0.1:1", "instances": "http://127.0.0.1:1" });
    fs::write(service.folder.join("operator.jsonc"), nowhere.to_string()).expect("file is written");

    let output = service.apply(&checkout, &[]);

    assert_eq!(code(&output), 3, "{}", text(&output));
    assert!(
        text(&output).contains("run apply again"),
        "{}",
        text(&output)
    );
}
