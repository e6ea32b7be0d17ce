//! Unix signals that tell a process to stop or to reload its settings.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT, which start the ordered shutdown.
///
/// # Errors
/// Returns the error of the operating system if the signal handler can't be installed.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Returns a stream of SIGHUP signals, which tell a process that its settings have changed.
///
/// # Errors
/// Returns the error of the operating system if the signal handler can't be installed.
pub fn reload_signals() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}
