//! One stand-in as a process.

use std::{io, net::SocketAddr, time::Duration};

use pistachiolug_http::{
    limit::Limit,
    server::{Handler, Server},
};
use pistachiolug_kernel::signal;
use pistachiolug_standin::{
    directory::Directory,
    engine::{
        control::Crash,
        face::{Face, Speed},
    },
    kv::gateway::Gateway,
    origin::Origin,
    plain::Plain,
    relay::Relay,
};

/// Largest body a stand-in takes, in bytes.
const BODY_BYTES: usize = 256 << 20;

/// Options of all stand-ins; each reads its own.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Bytes a second of an origin's link; 0 means no limit.
    pub rate: u64,
    /// Lag of the instance list in milliseconds.
    pub lag_ms: u64,
    /// Time to the first token, or of a plain call, in milliseconds.
    pub first_ms: u64,
    /// Time between tokens in milliseconds.
    pub gap_ms: u64,
    /// Whether an engine refuses old fencing numbers.
    pub checks_fence: bool,
    /// Generations that an engine runs at once.
    pub slots: u32,
    /// Address that a relay forwards to.
    pub target: Option<SocketAddr>,
    /// Address on which a relay takes orders.
    pub control: Option<SocketAddr>,
}

/// Runs a stand-in until it is told to stop.
///
/// # Errors
/// Returns the error of the bind, or `InvalidInput` for an unknown role.
pub fn run(role: &str, options: Options) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(role, options))
}

async fn serve(role: &str, options: Options) -> io::Result<()> {
    let first = Duration::from_millis(options.first_ms);
    match role {
        "kv" => {
            let gateway = Gateway::default();
            let leases = gateway.clone();
            tokio::spawn(async move { leases.run_leases().await });
            wait(options, gateway).await
        }
        "directory" => {
            let lag = Duration::from_millis(options.lag_ms);
            wait(options, Directory::new(lag)).await
        }
        "origin" => wait(options, Origin::new(options.rate)).await,
        "engine" => {
            let gap = Duration::from_millis(options.gap_ms);
            let speed = Speed { first, gap };
            let face = Face::new(speed, options.checks_fence)
                .with_slots(options.slots)
                .with_crash(Crash::Exit);
            wait(options, face).await
        }
        "relay" => match (options.target, options.control) {
            (Some(target), Some(control)) => {
                let relay = Relay::start(options.listen, target).await?;
                let listen = control;
                wait(Options { listen, ..options }, relay).await
            }
            _ => Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "a relay needs --target and --control",
            )),
        },
        "plain" => wait(options, Plain::new(first)).await,
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("no stand-in `{role}`"),
        )),
    }
}

async fn wait<H: Handler>(options: Options, handler: H) -> io::Result<()> {
    let limit = Limit {
        body_bytes: BODY_BYTES,
        ..Limit::default()
    };
    let server = Server::bind(options.listen, 1, limit, handler)?;
    signal::wait_for_stop().await?;
    server.stop();
    Ok(())
}
