//! A small deployment: stand-ins, agents and entries.

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

/// Secret of every rig.
pub const SECRET: &str = "rig-secret";

/// Bearer key of the paid customer.
pub const PAID_KEY: &str = "paid-key";

/// Bearer key of the trial customer.
pub const TRIAL_KEY: &str = "trial-key";

/// Calls that each backend server runs at once unless a size says otherwise.
pub const SLOTS: u32 = 16;

/// Length of a chunk in bytes.
pub const CHUNK_BYTES: usize = 64 << 10;

/// Wait between two looks at a process that starts.
const POLL: Duration = Duration::from_millis(20);

/// Looks at a process before it counts as failed.
const POLLS: u32 = 3_000;

/// Sizes of a deployment.
#[derive(Debug, Clone)]
pub struct Size {
    /// Agents with engines.
    pub models: usize,
    /// Agents with plain services.
    pub plains: usize,
    /// Entries.
    pub entries: usize,
    /// Further arguments of the engine stand-ins.
    pub engine_args: Vec<String>,
    /// Bytes a second of the origin's link; 0 means no limit.
    pub origin_rate: u64,
    /// Length of the weights that [`Deployment::roll_out`] makes, in bytes.
    pub weights_bytes: usize,
    /// Calls that each backend server runs at once.
    pub slots: u32,
}

impl Size {
    /// Creates sizes with fast stand-ins, an unlimited origin and small weights.
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

/// Running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the instance.
    pub name: String,
    /// Internal address.
    pub internal: SocketAddr,
    /// Address for callers; entries only.
    pub callers: Option<SocketAddr>,
    /// Address of the backend server; agents only.
    pub backend: Option<SocketAddr>,
    /// Service of the backend server; agents only.
    pub service: String,
    /// State that the instance list shows.
    pub state: State,
    /// Process.
    pub process: Process,
    /// Process of the backend server; agents only.
    pub backend_process: Option<Process>,
}

/// Running deployment; dropping it ends every process.
#[derive(Debug)]
pub struct Deployment {
    /// Key-value stand-in.
    pub kv: SocketAddr,
    /// Instance list stand-in.
    pub directory: SocketAddr,
    /// Origin stand-in.
    pub origin: SocketAddr,
    /// Agents.
    pub agents: Vec<Daemon>,
    /// Entries.
    pub entries: Vec<Daemon>,
    /// Requests to all of them.
    pub http: HttpClient,
    /// Processes of the platform stand-ins, in the order kv, directory, origin.
    pub platform: Vec<Process>,
    /// Length of each version's weights in bytes.
    pub(super) weights_bytes: usize,
    /// Calls that each backend server runs at once.
    pub(super) slots: u32,
    pub(super) folder: PathBuf,
    /// Whether the folder outlives the deployment, because its logs tell why the start failed.
    keep_logs: bool,
}

impl Deployment {
    /// Starts a deployment and waits until every process answers.
    ///
    /// # Errors
    /// Returns the first error of a start.
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
        if let Err(error) = deployment.wait_started().await {
            deployment.keep_logs = true;
            return Err(error);
        }
        Ok(deployment)
    }

    async fn wait_started(&self) -> io::Result<()> {
        self.wait_ready().await?;
        self.publish_instances().await
    }

    /// Returns the folder with the processes' settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the length of each version's weights in bytes.
    pub fn weights_bytes(&self) -> usize {
        self.weights_bytes
    }

    /// Publishes all daemons as live instances.
    ///
    /// # Errors
    /// Returns the error of the request.
    pub async fn publish_instances(&self) -> io::Result<()> {
        let agents = self.agents.iter().map(|agent| instance(agent, Role::Agent));
        let entries = self
            .entries
            .iter()
            .map(|entry| instance(entry, Role::Entry));
        let rows: Vec<Instance> = agents.chain(entries).collect();
        let body = serde_json::to_vec(&rows)?;
        let sent = self
            .http
            .send(Method::PUT, self.directory, "/v1/instances", None, body)
            .await;
        sent.map(drop).map_err(io::Error::other)
    }

    /// Waits until every engine of the service holds a version and its agent knows it, which it learns a little later.
    ///
    /// # Errors
    /// `TimedOut` when one does not in time.
    pub async fn wait_for_version(&self, version: &str) -> io::Result<()> {
        for agent in self
            .agents
            .iter()
            .filter(|agent| agent.service == "assistant")
        {
            let backend = agent.backend.unwrap_or(agent.internal);
            self.poll(backend, "/v1/engine/state", |body| {
                let needle = format!("\"version\":\"{version}\"");
                String::from_utf8_lossy(body).contains(&needle)
            })
            .await?;
            self.poll(agent.internal, "/debug/state", |body| {
                serves(body, version).unwrap_or_default()
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

    async fn poll(
        &self,
        address: SocketAddr,
        path: &str,
        done: impl Fn(&[u8]) -> bool,
    ) -> io::Result<()> {
        for _ in 0..POLLS {
            let answer = self.http.send(Method::GET, address, path, None, "").await;
            if answer.is_ok_and(|answer| done(answer.body())) {
                return Ok(());
            }
            sleep(POLL).await;
        }
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            format!("{address}{path}, logs in {}", self.folder.display()),
        ))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if self.keep_logs || std::thread::panicking() {
            return;
        }
        // Left-over logs do no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Tells whether an agent's state says that its engine serves a version; `None` if it says nothing of versions.
fn serves(state: &[u8], version: &str) -> Option<bool> {
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
