//! Signals that ask a process to stop in order.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Returns the error of the handler's installation.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Returns a stream of SIGHUPs, by which a process is told that its settings have changed.
///
/// # Errors
/// Returns the error of the handler's installation.
pub fn reload_signals() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}
