//! Deployment on loopback: stand-ins, agents and entries.

use std::{
    env, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use http::Method;
use pistachiolug_wire::instance::{Instance, Place, Role, State};
use serde_json::Value;
use tokio::time::sleep;

use super::{client::HttpClient, port, process::Process};

/// Secret of every deployment of the rig.
pub const SECRET: &str = "rig-secret";

/// Bearer key of the paid customer.
pub const PAID_KEY: &str = "paid-key";

/// Bearer key of the trial customer.
pub const TRIAL_KEY: &str = "trial-key";

/// Number of calls that each backend server runs at once by default.
pub const SLOTS: u32 = 16;

/// Length of a chunk of the weights in bytes.
pub const CHUNK_BYTES: usize = 64 << 10;

/// Interval between two polls of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of polls after which a wait fails; with the interval, at least 60 s.
const MAX_POLLS: u32 = 3_000;

/// Size of a deployment and options of its stand-ins.
#[derive(Debug, Clone)]
pub struct Size {
    /// Number of agents with model engines.
    pub models: usize,
    /// Number of agents with plain services.
    pub plains: usize,
    /// Number of entries.
    pub entries: usize,
    /// Additional command line arguments of the engine stand-ins.
    pub engine_args: Vec<String>,
    /// Rate of the origin's link in bytes per second; 0 means no limit.
    pub origin_rate: u64,
    /// Length of the weights of each version, in bytes.
    pub weights_bytes: usize,
    /// Number of calls that each backend server runs at once.
    pub slots: u32,
}

impl Size {
    /// Creates a size with fast stand-ins, an unlimited origin and small weights.
    pub fn new(models: usize, plains: usize, entries: usize) -> Self {
        Self {
            models,
            plains,
            entries,
            engine_args: Vec::new(),
            origin_rate: 0,
            weights_bytes: 200_000,
            slots: SLOTS,
        }
    }
}

/// Running agent or entry, with its backend server if it has one.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the instance.
    pub name: String,
    /// Internal address.
    pub internal: SocketAddr,
    /// Address for callers; only entries have one.
    pub callers: Option<SocketAddr>,
    /// Address of the backend server; only agents have one.
    pub backend: Option<SocketAddr>,
    /// Service of the backend server; empty for entries.
    pub service: String,
    /// State that [`Deployment::publish_instances`] writes into the instance list.
    pub state: State,
    /// Process of the agent or entry.
    pub process: Process,
    /// Process of the backend server; only agents have one.
    pub backend_process: Option<Process>,
}

/// Running deployment; dropping it kills every process.
#[derive(Debug)]
pub struct Deployment {
    /// Address of the key-value stand-in.
    pub kv: SocketAddr,
    /// Address of the instance list stand-in.
    pub directory: SocketAddr,
    /// Address of the origin stand-in.
    pub origin: SocketAddr,
    /// Agents, first those with model engines.
    pub agents: Vec<Daemon>,
    /// Entries.
    pub entries: Vec<Daemon>,
    /// Client for requests to all processes.
    pub http: HttpClient,
    /// Processes of the platform stand-ins, in the order key-value service, instance list, origin.
    pub platform: Vec<Process>,
    /// Length of the weights of each version in bytes.
    pub(super) weights_bytes: usize,
    /// Number of calls that each backend server runs at once.
    pub(super) slots: u32,
    /// Folder of the settings and logs.
    pub(super) folder: PathBuf,
    /// Whether the folder is kept when the deployment is dropped, since its logs show why the start failed.
    keep_logs: bool,
}

impl Deployment {
    /// Starts a deployment, waits until every process is ready and publishes the instances.
    ///
    /// # Errors
    /// Returns the first error of a process or port, or `TimedOut` if a daemon does not become ready.
    pub async fn start(size: &Size) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!(
            "pistachiolug-{}-{:08x}",
            std::process::id(),
            rand::random::<u32>()
        ));
        fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            kv: port::reserve()?,
            directory: port::reserve()?,
            origin: port::reserve()?,
            agents: Vec::new(),
            entries: Vec::new(),
            http: HttpClient::new(SECRET),
            platform: Vec::new(),
            weights_bytes: size.weights_bytes,
            slots: size.slots,
            folder,
            keep_logs: false,
        };
        deployment.start_platform(size)?;
        for index in 0..size.models {
            let name = format!("assistant-{index}");
            let agent = deployment.start_agent(&name, "assistant", "engine", &size.engine_args)?;
            deployment.agents.push(agent);
        }
        for index in 0..size.plains {
            let name = format!("booking-{index}");
            let agent = deployment.start_agent(&name, "booking", "plain", &[])?;
            deployment.agents.push(agent);
        }
        for index in 0..size.entries {
            let entry = deployment.start_entry(&format!("entry-{index}"))?;
            deployment.entries.push(entry);
        }
        if let Err(error) = deployment.finish_start().await {
            deployment.keep_logs = true;
            return Err(error);
        }
        Ok(deployment)
    }

    async fn finish_start(&self) -> io::Result<()> {
        self.wait_ready().await?;
        self.publish_instances().await
    }

    /// Returns the folder with the settings and logs of the processes.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the length of the weights of each version in bytes.
    pub fn weights_bytes(&self) -> usize {
        self.weights_bytes
    }

    /// Writes all daemons with their states into the instance list.
    ///
    /// # Errors
    /// Returns the error of the request.
    pub async fn publish_instances(&self) -> io::Result<()> {
        let agents = self.agents.iter().map(|agent| instance(agent, Role::Agent));
        let entries = self
            .entries
            .iter()
            .map(|entry| instance(entry, Role::Entry));
        let instances: Vec<Instance> = agents.chain(entries).collect();
        let body = serde_json::to_vec(&instances)?;
        let sent = self
            .http
            .send(Method::PUT, self.directory, "/v1/instances", None, body)
            .await;
        sent.map(drop).map_err(io::Error::other)
    }

    /// Waits until every model engine has loaded a version and its agent reports it, which happens a little later.
    ///
    /// # Errors
    /// `TimedOut` if one of them does not in time.
    pub async fn wait_for_version(&self, version: &str) -> io::Result<()> {
        for agent in self
            .agents
            .iter()
            .filter(|agent| agent.service == "assistant")
        {
            let backend = agent.backend.unwrap_or(agent.internal);
            self.poll(backend, "/v1/engine/state", |body| {
                let version_field = format!("\"version\":\"{version}\"");
                String::from_utf8_lossy(body).contains(&version_field)
            })
            .await?;
            self.poll(agent.internal, "/debug/state", |body| {
                is_serving(body, version).unwrap_or_default()
            })
            .await?;
        }
        Ok(())
    }

    async fn wait_ready(&self) -> io::Result<()> {
        for daemon in self.agents.iter().chain(&self.entries) {
            self.poll(daemon.internal, "/readyz", |body| body == b"running")
                .await?;
        }
        Ok(())
    }

    /// Polls a path until its answer meets a condition.
    async fn poll(
        &self,
        address: SocketAddr,
        path: &str,
        is_done: impl Fn(&[u8]) -> bool,
    ) -> io::Result<()> {
        for _ in 0..MAX_POLLS {
            let answer = self.http.send(Method::GET, address, path, None, "").await;
            if answer.is_ok_and(|answer| is_done(answer.body())) {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            format!(
                "http://{address}{path} was not as expected in time; logs are in {}",
                self.folder.display()
            ),
        ))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if self.keep_logs || std::thread::panicking() {
            return;
        }
        // An error leaves files in the temporary folder, which does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns whether the state of an agent lists a version as serving, `None` if it lists no versions.
fn is_serving(state: &[u8], version: &str) -> Option<bool> {
    let state: Value = serde_json::from_slice(state).ok()?;
    let mut versions = state["weights"]["versions"].as_array()?.iter();
    Some(versions.any(|held| held["version"] == version && held["state"] == "serving"))
}

fn instance(daemon: &Daemon, role: Role) -> Instance {
    Instance {
        name: daemon.name.clone(),
        role,
        service: daemon.service.clone(),
        address: daemon.internal,
        place: Place {
            region: "gauteng".to_owned(),
            zone: "midrand".to_owned(),
        },
        state: daemon.state,
    }
}
