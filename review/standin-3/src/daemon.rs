//! Start of the project's own programs, with the settings of a small deployment.

use std::{
    env, fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::Reader;

/// Returns the root of the repository, which holds the folder `review`.
pub fn root() -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    folder.ancestors().nth(2).unwrap_or(folder).to_owned()
}

/// Hosts of the entries, and of the servers with agents.
const HOSTS: [u8; 12] = [10, 20, 30, 11, 21, 31, 12, 22, 32, 13, 23, 33];

/// Loopback network of this run, so that runs beside each other do not meet.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    second: u8,
    third: u8,
    /// First port of `port_range`, the same on all machines.
    pub internal_port: u16,
}

impl Network {
    /// Chooses a network whose internal port is free.
    pub fn choose() -> io::Result<Self> {
        let id = std::process::id();
        let network = Self {
            second: 100 + (id % 100) as u8,
            third: (id / 100 % 200) as u8 + 1,
            internal_port: 0,
        };
        for port in (20_000..60_000).step_by(16) {
            let port = port + (id % 16) as u16;
            let is_free = HOSTS.iter().all(|host| {
                let address = SocketAddr::new(network.host(*host), port);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            });
            if is_free {
                return Ok(Self {
                    internal_port: port,
                    ..network
                });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    pub fn host(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host))
    }

    /// Returns an address at a host with a free port.
    pub fn free(&self, host: u8) -> io::Result<SocketAddr> {
        TcpListener::bind((self.host(host), 0))?.local_addr()
    }
}

/// Machine that a program is started on.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub zone: &'static str,
    role: Role,
}

/// What a machine is for.
#[derive(Debug, Clone)]
enum Role {
    Entry {
        front: SocketAddr,
        ready: SocketAddr,
        control: SocketAddr,
    },
    /// Beside the server at `app`.
    Agent { app: SocketAddr, service: String },
}

/// Zones and regions of the deployment `kvh-antennit`.
pub const ZONES: [(&str, &str); 3] = [
    ("kotka-a", "kymenlaakso"),
    ("lappeenranta-a", "etela-karjala"),
    ("mikkeli-a", "etela-savo"),
];

/// Bounds of that deployment.
const BOUNDS: &str = "\
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=100
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.version_ms=8000
bounds.version_all_ms=0
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
";

impl Machine {
    /// Creates the machine of an entry; `index` is that of its zone.
    pub fn entry(network: &Network, index: usize) -> io::Result<Self> {
        let host = HOSTS[index];
        let (zone, _) = ZONES[index];
        Ok(Self {
            name: format!("edge-{zone}-1"),
            ip: network.host(host),
            zone,
            role: Role::Entry {
                front: network.free(host)?,
                ready: network.free(host)?,
                control: network.free(host)?,
            },
        })
    }

    /// Returns a free address for the server with this index that has an agent; servers are dealt to the zones in turn.
    pub fn app(network: &Network, index: usize) -> io::Result<SocketAddr> {
        network.free(HOSTS[3 + index])
    }

    /// Creates the machine of the agent beside a server.
    pub fn agent(index: usize, app: SocketAddr, service: &str) -> Self {
        let (zone, _) = ZONES[index % ZONES.len()];
        Self {
            name: format!("side-{zone}-{}", index / ZONES.len() + 1),
            ip: app.ip(),
            zone,
            role: Role::Agent {
                app,
                service: service.to_owned(),
            },
        }
    }

    /// Returns the address for callers; that of its server on a machine with an agent.
    pub fn front(&self) -> SocketAddr {
        match &self.role {
            Role::Entry { front, .. } => *front,
            Role::Agent { app, .. } => *app,
        }
    }

    /// Returns the text of its settings file.
    fn settings(&self, network: &Network, store: SocketAddr) -> String {
        let regions = ZONES
            .map(|(zone, region)| format!("zones.{zone}={region}\n"))
            .concat();
        let region = ZONES.iter().find(|(zone, _)| *zone == self.zone);
        let region = region.map_or("", |(_, region)| region);
        let (first, last) = (network.internal_port, network.internal_port + 15);
        let Self {
            name,
            ip,
            zone,
            role,
        } = self;
        let role = match role {
            Role::Entry {
                front,
                ready,
                control,
            } => format!(
                "role=entry\nmachine_class=edge\nserves=edge\nlisten.front={front}\nlisten.ready={ready}\n\
                 listen.control={control}\nlimits.cpu_share=0.19\nlimits.memory_mb=260\nlimits.max_fds=4200\n\
                 limits.link_mbps=1000.0\n"
            ),
            Role::Agent { app, service } => format!(
                "role=agent\nmachine_class=side\nserves=side\napp={app}\nservice={service}\nlimits.cpu_share=0.3\n\
                 limits.memory_mb=128\nlimits.max_fds=2048\nlimits.link_mbps=9.4\n"
            ),
        };
        format!(
            "node_name={name}\nip={ip}\nzone={zone}\nregion={region}\n{regions}{role}port_range={first},{last}\n\
             seeds=\nbootstrap=true\nin_fault_budget=false\nlimits.cores=1\nlimits.disk_mb=0\ndiscovery=platform\n\
             entry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,chunks\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n{BOUNDS}\
             platform.address={store}\n"
        )
    }
}

/// Running program; it is ended when it is dropped.
#[derive(Debug)]
pub struct Daemon {
    pub machine: Machine,
    child: Child,
}

impl Daemon {
    /// Starts the program of a machine with the command of the deploy file. Its log goes to a file in `folder`.
    pub fn start(
        machine: Machine,
        network: &Network,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{}.conf", machine.name));
        fs::write(&settings, machine.settings(network, store))?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", machine.name)))?;
        let role = match machine.role {
            Role::Entry { .. } => "entry",
            Role::Agent { .. } => "agent",
        };
        let child = Command::new("target/release/pistachiolug-platform")
            .arg(role)
            .current_dir(root())
            .env("PISTACHIOLUG_BOOT", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Self { machine, child })
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the program says that it is ready; returns whether it did in time.
    pub fn wait_ready(&self, time_limit: Duration) -> bool {
        let end = Instant::now() + time_limit;
        while Instant::now() < end {
            if self.is_ready().unwrap_or_default() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> io::Result<bool> {
        use std::io::Write;
        let time_limit = Duration::from_millis(500);
        let Role::Entry { ready, .. } = self.machine.role else {
            return Ok(true);
        };
        let mut stream = TcpStream::connect_timeout(&ready, time_limit)?;
        stream.set_read_timeout(Some(time_limit))?;
        stream.write_all(b"GET /pistachiolug/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        let answer = Reader::new(stream).message(true)?;
        Ok(answer.is_some_and(|answer| answer.status() == 200))
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status()?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| io::ErrorKind::Other.into())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Temporary folder, which is removed when it is dropped.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let name = format!("review-3-{}", std::process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_some() {
            return;
        }
        // What is left is in the folder for temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}
