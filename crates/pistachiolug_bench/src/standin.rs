//! Stand-ins as processes of their own.

use std::{io, net::SocketAddr, time::Duration};

use pistachiolug_http::{
    limit::Limit,
    server::{Handler, Server},
};
use pistachiolug_kernel::signal;
use pistachiolug_standin::{
    directory::Directory,
    engine::{
        control::CrashMode,
        server::{EngineServer, Timing},
    },
    kv::gateway::Gateway,
    origin::Origin,
    plain::PlainService,
    relay::Relay,
};

/// Largest request body that a stand-in accepts, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Options of all stand-ins; each stand-in reads only those of its role.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Rate of an origin's link in bytes per second; 0 means no limit.
    pub rate: u64,
    /// Time until a change of the instance list becomes visible, in milliseconds.
    pub lag_ms: u64,
    /// Time to an engine's first token, or time of a plain call, in milliseconds.
    pub first_ms: u64,
    /// Time between an engine's tokens in milliseconds.
    pub gap_ms: u64,
    /// Whether an engine refuses old fencing tokens.
    pub checks_fence: bool,
    /// Number of generations that an engine runs at once.
    pub slots: u32,
    /// Address that a relay forwards to.
    pub target: Option<SocketAddr>,
    /// Address on which a relay accepts control requests.
    pub control: Option<SocketAddr>,
}

/// Runs the stand-in of a role until a signal stops the process.
///
/// # Errors
/// Returns the error of the bind, or `InvalidInput` for an unknown role or a relay without its addresses.
pub fn run(role: &str, options: Options) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run_role(role, options))
}

async fn run_role(role: &str, options: Options) -> io::Result<()> {
    let first_token = Duration::from_millis(options.first_ms);
    match role {
        "kv" => {
            let gateway = Gateway::default();
            let leases = gateway.clone();
            tokio::spawn(async move { leases.run_lease_expiry().await });
            serve_until_signal(options, gateway).await
        }
        "directory" => {
            let lag = Duration::from_millis(options.lag_ms);
            serve_until_signal(options, Directory::new(lag)).await
        }
        "origin" => serve_until_signal(options, Origin::new(options.rate)).await,
        "engine" => {
            let gap = Duration::from_millis(options.gap_ms);
            let timing = Timing {
                first_token,
                token_interval: gap,
            };
            let engine = EngineServer::new(timing, options.checks_fence)
                .with_slots(options.slots)
                .with_crash_mode(CrashMode::Exit);
            serve_until_signal(options, engine).await
        }
        "relay" => match (options.target, options.control) {
            (Some(target), Some(control)) => {
                let relay = Relay::start(options.listen, target).await?;
                let listen = control;
                serve_until_signal(Options { listen, ..options }, relay).await
            }
            _ => Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "the relay stand-in needs --target and --control",
            )),
        },
        "plain" => serve_until_signal(options, PlainService::new(first_token)).await,
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("unknown stand-in role `{role}`"),
        )),
    }
}

/// Serves a handler until a signal stops the process.
async fn serve_until_signal<H: Handler>(options: Options, handler: H) -> io::Result<()> {
    let limit = Limit {
        body_bytes: MAX_BODY_BYTES,
        ..Limit::default()
    };
    let server = Server::bind(options.listen, 1, limit, handler)?;
    signal::wait_for_stop().await?;
    server.stop();
    Ok(())
}
