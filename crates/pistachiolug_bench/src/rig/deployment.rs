//! A small deployment: stand-ins, agents and entries.

use std::{
    env, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use http::Method;
use pistachiolug_lists::{
    customer::Customer,
    key,
    plan::{Model, Plan, Replicas, Service},
    row::{Kind, Name},
};
use pistachiolug_platform::kv::{self, Expect, Store, etcd::Etcd};
use pistachiolug_weights::manifest::{self, Manifest};
use pistachiolug_wire::{
    digest::Digest,
    instance::{Instance, Place, Role, State},
};
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;

use super::{
    client::Http,
    port,
    process::{Process, program},
};

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
    pub http: Http,
    /// Processes of the platform stand-ins, in the order kv, directory, origin.
    pub platform: Vec<Process>,
    /// Length of each version's weights in bytes.
    weights_bytes: usize,
    /// Calls that each backend server runs at once.
    slots: u32,
    folder: PathBuf,
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
            kv: port::free()?,
            directory: port::free()?,
            origin: port::free()?,
            agents: Vec::new(),
            entries: Vec::new(),
            http: Http::new(SECRET),
            platform: Vec::new(),
            weights_bytes: size.weights_bytes,
            slots: size.slots,
            folder,
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
        deployment.wait_ready().await?;
        deployment.publish_instances().await?;
        Ok(deployment)
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

    /// Uploads weights to the origin and returns their manifest's digest.
    ///
    /// # Errors
    /// Returns the error of the request.
    pub async fn upload(
        &self,
        model: &str,
        version: &str,
        weights: &[u8],
        chunk_bytes: usize,
    ) -> io::Result<Digest> {
        let manifest = Manifest::build(model, version, weights, chunk_bytes);
        for piece in weights.chunks(chunk_bytes) {
            let name = manifest::chunk_object(&Digest::of(piece));
            self.put_object(&name, piece.to_vec()).await?;
        }
        let text = manifest.render();
        let digest = Digest::of(&text);
        self.put_object(&manifest::object(&digest), text).await?;
        Ok(digest)
    }

    /// Writes the sample rows: a paid and a trial plan with a customer each, a model and a plain service.
    ///
    /// # Errors
    /// Returns the error of the first write.
    pub async fn write_sample(&self, version: &str, manifest: Digest) -> io::Result<()> {
        self.write_share("paid", 3).await?;
        self.write_share("trial", 1).await?;
        for (name, bearer) in [("paid", PAID_KEY), ("trial", TRIAL_KEY)] {
            let customer = Customer {
                name: name.to_owned(),
                plan: name.to_owned(),
                keys: vec![key::digest(bearer)],
                tokens_per_minute: 0,
            };
            self.write_row(Kind::Customers, name, &customer).await?;
        }
        let service = Service {
            name: "booking".to_owned(),
            idempotent: vec!["/stock".to_owned()],
        };
        self.write_row(Kind::Services, "booking", &service).await?;
        self.write_model(version, manifest).await
    }

    /// Writes a plan's row with a share.
    ///
    /// # Errors
    /// Returns the error of the write.
    pub async fn write_share(&self, name: &str, share: u32) -> io::Result<()> {
        let trial = name == "trial";
        let plan = Plan {
            name: name.to_owned(),
            share,
            priority: u8::from(!trial),
            models: vec!["pasta".to_owned()],
            services: vec!["booking".to_owned()],
            tokens_per_minute: 0,
            trial,
        };
        self.write_row(Kind::Plans, name, &plan).await
    }

    /// Writes the sample lists with a first version and waits until every engine serves it.
    ///
    /// # Errors
    /// Returns the first error of an upload, write or wait.
    pub async fn prepare(&self, version: &str) -> io::Result<()> {
        let weights = weights(version, self.weights_bytes);
        let manifest = self.upload("pasta", version, &weights, CHUNK_BYTES).await?;
        self.write_sample(version, manifest).await?;
        self.wait_serving(version).await
    }

    /// Uploads weights of their own for a version and asks for it.
    ///
    /// # Errors
    /// Returns the error of the upload or write.
    pub async fn roll_out(&self, version: &str) -> io::Result<()> {
        let weights = weights(version, self.weights_bytes);
        let manifest = self.upload("pasta", version, &weights, CHUNK_BYTES).await?;
        self.write_model(version, manifest).await
    }

    /// Writes the model's row with a wanted version.
    ///
    /// # Errors
    /// Returns the error of the write.
    pub async fn write_model(&self, version: &str, manifest: Digest) -> io::Result<()> {
        let model = Model {
            name: "pasta".to_owned(),
            service: "assistant".to_owned(),
            version: version.to_owned(),
            manifest,
            replicas: Replicas {
                least: self.agents.len() as u32,
                most: self.agents.len() as u32,
            },
            adapters: Vec::new(),
        };
        self.write_row(Kind::Models, "pasta", &model).await
    }

    /// Waits until an engine of the service serves a version, at every agent of the service.
    ///
    /// # Errors
    /// `TimedOut` when one does not in time.
    pub async fn wait_serving(&self, version: &str) -> io::Result<()> {
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
        }
        Ok(())
    }

    fn start_platform(&mut self, size: &Size) -> io::Result<()> {
        let rate = size.origin_rate.to_string();
        let kv = self.start_standin("kv", self.kv, &[])?;
        let directory = self.start_standin("directory", self.directory, &[])?;
        let origin = self.start_standin("origin", self.origin, &["--rate".to_owned(), rate])?;
        self.platform.extend([kv, directory, origin]);
        Ok(())
    }

    fn start_standin(&self, role: &str, at: SocketAddr, more: &[String]) -> io::Result<Process> {
        let mut args = vec![
            "standin".to_owned(),
            role.to_owned(),
            "--listen".to_owned(),
            at.to_string(),
        ];
        args.extend_from_slice(more);
        let log = self.folder.join(format!("{role}-{}.log", at.port()));
        Process::start(&program("pistachiolug-bench")?, &args, &log, SECRET)
    }

    fn start_agent(
        &self,
        name: &str,
        service: &str,
        backend_role: &str,
        backend_args: &[String],
    ) -> io::Result<Daemon> {
        let internal = port::free()?;
        let backend = port::free()?;
        let backend_process = self.start_standin(backend_role, backend, backend_args)?;
        let kind = if backend_role == "engine" {
            "model"
        } else {
            "plain"
        };
        let mut settings = self.settings(name, internal);
        settings["backend"] = json!({
            "service": service,
            "kind": kind,
            "address": format!("http://{backend}"),
            "slots": self.slots,
        });
        Ok(Daemon {
            name: name.to_owned(),
            internal,
            callers: None,
            backend: Some(backend),
            service: service.to_owned(),
            state: State::Live,
            process: self.start_daemon("agent", name, &settings)?,
            backend_process: Some(backend_process),
        })
    }

    fn start_entry(&self, name: &str) -> io::Result<Daemon> {
        let internal = port::free()?;
        let callers = port::free()?;
        let mut settings = self.settings(name, internal);
        settings["callers"] = json!(callers);
        Ok(Daemon {
            name: name.to_owned(),
            internal,
            callers: Some(callers),
            backend: None,
            service: String::new(),
            state: State::Live,
            process: self.start_daemon("entry", name, &settings)?,
            backend_process: None,
        })
    }

    fn settings(&self, name: &str, internal: SocketAddr) -> serde_json::Value {
        json!({
            "instance": name,
            "region": "gauteng",
            "zone": "midrand",
            "internal": internal,
            "platform": {
                "key_value": format!("http://{}", self.kv),
                "instances": format!("http://{}", self.directory),
                "origin": format!("http://{}", self.origin),
            },
        })
    }

    fn start_daemon(
        &self,
        role: &str,
        name: &str,
        settings: &serde_json::Value,
    ) -> io::Result<Process> {
        let path = self.folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let args = [role.to_owned(), path.display().to_string()];
        Process::start(&program("pistachiolug")?, &args, &log, SECRET)
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

    async fn put_object(&self, name: &str, body: Vec<u8>) -> io::Result<()> {
        let path = format!("/{name}");
        let sent = self.http.send(Method::PUT, self.origin, &path, None, body);
        sent.await.map(drop).map_err(io::Error::other)
    }

    /// Writes a row of the lists, as a client of the key-value service would.
    ///
    /// # Errors
    /// Returns the error of the service.
    pub async fn write_row<T: Serialize>(&self, kind: Kind, name: &str, row: &T) -> io::Result<()> {
        let store = Etcd::new(
            pistachiolug_http::client::Client::new(1),
            &format!("http://{}", self.kv),
        );
        let name = Name {
            kind,
            name: name.to_owned(),
        };
        let key = name.key();
        let value = serde_json::to_vec(row)?;
        loop {
            let current = store.get(&key).await.map_err(io::Error::other)?;
            let expect = current.map_or(Expect::Absent, |entry| Expect::Revision(entry.revision));
            match store.swap(&key, expect, Some(&value), None).await {
                Err(kv::Error::Throttled { after }) => sleep(after).await,
                swapped => return swapped.map(drop).map_err(io::Error::other),
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        // Left-over logs do no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
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

/// Makes weights that belong to one version and no other.
pub fn weights(version: &str, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    blake3::Hasher::new()
        .update(version.as_bytes())
        .finalize_xof()
        .fill(&mut bytes);
    bytes
}
