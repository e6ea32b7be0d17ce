//! One run: the project's processes, the store, what was observed, and the record.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{client::Outcome, http, server::Run, store::Store};

/// Program and argument of the role `entry` in deploy/system.toml.
const PROGRAM: &str = "target/release/pistachiolug-platform";
const ROLE: &str = "entry";

/// Ports, which are the same on all machines.
const FRONT_PORT: u16 = 8005;
const READY_PORT: u16 = 8002;
const STORE_PORT: u16 = 8007;
pub const SERVER_PORT: u16 = 8001;

/// Items of a page of the store; the site files have `page = 50`.
const PAGE: usize = 50;

/// Entry of the deployment.
#[derive(Debug, Clone)]
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

#[derive(Debug)]
pub struct World {
    /// Whether the disruption of the case is played.
    pub trouble: bool,
    pub store: Store,
    /// Second and third byte of all addresses.
    subnet: (u8, u8),
    started_at: Instant,
    folder: PathBuf,
    scratch: PathBuf,
    record: Mutex<Vec<(Instant, String)>>,
    runs: Mutex<Vec<Run>>,
    outcomes: Mutex<Vec<Outcome>>,
    entries: Mutex<Vec<Entry>>,
    children: Mutex<Vec<Child>>,
    attempts: AtomicU64,
}

impl World {
    pub fn new(folder: PathBuf, trouble: bool) -> std::io::Result<Self> {
        if !Path::new(PROGRAM).exists() {
            return Err(std::io::Error::other(format!(
                "{PROGRAM} is missing: build it as the deploy file says"
            )));
        }
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |now| now.subsec_nanos() / 1000);
        let seed = seed ^ std::process::id().wrapping_mul(2_654_435_761);
        let mut chosen = None;
        for attempt in 0..50 {
            let seed = seed.wrapping_add(attempt * 7919);
            let subnet = (20 + (seed % 200) as u8, 1 + (seed / 200 % 250) as u8);
            let address = address(subnet, 1, STORE_PORT);
            if let Ok(listener) = TcpListener::bind(address) {
                chosen = Some((subnet, listener));
                break;
            }
        }
        let (subnet, listener) =
            chosen.ok_or_else(|| std::io::Error::other("no free addresses"))?;
        let store = Store::new(PAGE);
        store.listen(listener, "platform");
        let scratch = std::env::temp_dir().join(format!(
            "review-2-{}-{}-{}",
            std::process::id(),
            subnet.0,
            subnet.1
        ));
        fs::create_dir_all(&scratch)?;
        Ok(Self {
            trouble,
            store,
            subnet,
            started_at: Instant::now(),
            folder,
            scratch,
            record: Mutex::default(),
            runs: Mutex::default(),
            outcomes: Mutex::default(),
            entries: Mutex::default(),
            children: Mutex::default(),
            attempts: AtomicU64::new(1),
        })
    }

    /// Address of a port of the machine with this number.
    pub fn address(&self, machine: u8, port: u16) -> SocketAddr {
        address(self.subnet, machine, port)
    }

    /// Starts an entry with the command of the deploy file, in a zone with a region of its own or with others.
    ///
    /// `zones` are all zones with their regions.
    pub fn start_entry(
        &self,
        machine: u8,
        zone: &str,
        zones: &[(&str, &str)],
    ) -> Result<(), String> {
        let name = format!("edge-{zone}-{machine}");
        let entry = Entry {
            name: name.clone(),
            front: self.address(machine, FRONT_PORT),
            ready: self.address(machine, READY_PORT),
        };
        // Each machine reaches the store at an address of its own, so that the store knows who calls.
        let store = self.address(200 + machine, STORE_PORT);
        let listener = TcpListener::bind(store).map_err(|error| format!("{store}: {error}"))?;
        self.store.listen(listener, &name);
        let region = zones
            .iter()
            .find(|(known, _)| *known == zone)
            .map_or("", |(_, region)| region);
        let mut lines = vec![
            format!("node_name={name}"),
            format!("role={ROLE}"),
            "machine_class=edge".to_owned(),
            "serves=edge".to_owned(),
            format!("ip={}", entry.front.ip()),
            format!("zone={zone}"),
            format!("region={region}"),
        ];
        lines.extend(
            zones
                .iter()
                .map(|(zone, region)| format!("zones.{zone}={region}")),
        );
        lines.push(format!("listen.front={}", entry.front));
        lines.push(format!("listen.ready={}", entry.ready));
        lines.push(format!("platform.address={store}"));
        // The rest is as `fleetbench wire` prints it for the small site kvh-antennit.
        lines.extend(
            [
                "port_range=7700,7715",
                "seeds=",
                "bootstrap=true",
                "in_fault_budget=false",
                "limits.cpu_share=0.19",
                "limits.cores=1",
                "limits.memory_mb=260",
                "limits.max_fds=4200",
                "limits.link_mbps=1000.0",
                "limits.disk_mb=0",
                "discovery=platform",
                "entry=vip",
                "heartbeat_ms=1200",
                "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,chunks",
                "fault_tolerance.machines=2",
                "fault_tolerance.zones=0",
                "fault_tolerance.regions=0",
                "bounds.seed_lag_s=3",
                "bounds.reuse_after_s=2",
                "bounds.contact_ms=3000",
                "bounds.ack_ms=4000",
                "bounds.catch_up_s=4",
                "bounds.drain_ms=2000",
                "bounds.grace_s=8",
                "bounds.loss_slack_ms=200",
                "bounds.config_apply_ms=2000",
                "bounds.rollback_slack_ms=250",
                "bounds.max_stretch_ms=5000",
                "bounds.strict_revoke=false",
                "bounds.revoke_ms=5000",
                "bounds.retry_budget_ratio=0.2",
                "bounds.budget_window_s=10",
                "bounds.retry_budget_slack=100",
                "bounds.recovery_s=12",
                "bounds.pass_ms=120",
                "bounds.retry_after_s=0",
                "bounds.version_ms=8000",
                "bounds.version_all_ms=0",
                "platform.form=kv",
                "platform.writes_per_s=400",
                "platform.reads_per_s=2000",
                "platform.history_s=20",
                "platform.value_bytes=1048576",
                "platform.ttl_min_ms=1000",
            ]
            .map(str::to_owned),
        );
        let path = self.scratch.join(format!("{name}.conf"));
        fs::write(&path, lines.join("\n") + "\n").map_err(|error| error.to_string())?;
        let log = File::create(self.scratch.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .arg(ROLE)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("PISTACHIOLUG_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.note(&format!("process {name} started, id {}", child.id()));
        self.children.lock().unwrap().push(child);
        self.entries.lock().unwrap().push(entry);
        let pids: Vec<String> = self
            .children
            .lock()
            .unwrap()
            .iter()
            .map(|child| child.id().to_string())
            .collect();
        fs::write(self.folder.join("pids"), pids.join(" ")).map_err(|error| error.to_string())
    }

    /// Waits until all entries report that they are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        for entry in self.entries() {
            while !is_ready(entry.ready) {
                if Instant::now() > until {
                    return Err(format!("{} does not become ready", entry.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.note("all entries are ready");
        Ok(())
    }

    /// Fails if a process has ended by itself.
    pub fn check_processes(&self) -> Result<(), String> {
        for child in self.children.lock().unwrap().iter_mut() {
            if let Ok(Some(status)) = child.try_wait() {
                return Err(format!("process {} ended with {status}", child.id()));
            }
        }
        Ok(())
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap().clone()
    }

    pub fn new_attempt(&self) -> String {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    pub fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |now| now.as_millis() as u64)
    }

    pub fn note(&self, text: &str) {
        self.record
            .lock()
            .unwrap()
            .push((Instant::now(), text.to_owned()));
    }

    pub fn record_run(&self, run: Run) {
        self.note(&format!(
            "server {}: begins to run {} ({})",
            run.server, run.attempt, run.path
        ));
        self.runs.lock().unwrap().push(run);
    }

    pub fn record_outcome(&self, outcome: Outcome) {
        self.outcomes.lock().unwrap().push(outcome);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().unwrap().clone()
    }

    /// Ends all processes and writes the record.
    pub fn finish(&self) {
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let mut record = self.record.lock().unwrap().clone();
        record.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in record {
            let ms = at.saturating_duration_since(self.started_at).as_millis();
            text.push_str(&format!("{:>7.3} {line}\n", ms as f64 / 1000.0));
        }
        if let Ok(mut file) = File::create(self.folder.join("record.txt")) {
            let _ = file.write_all(text.as_bytes());
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs in {}", self.scratch.display());
        } else {
            let _ = fs::remove_dir_all(&self.scratch);
        }
        let _ = fs::remove_file(self.folder.join("pids"));
    }
}

fn address(subnet: (u8, u8), machine: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, subnet.0, subnet.1, machine], port))
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
        return false;
    };
    let request = b"GET /pistachiolug/ready HTTP/1.1\r\nHost: ready\r\nContent-Length: 0\r\n\r\n";
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if stream.write_all(request).is_err() {
        return false;
    }
    let answer = http::read(&mut std::io::BufReader::new(stream));
    answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
}
