//! Two of the three servers of a service are taken away at the same moment. Neither reports `draining`: their entries are
//! removed, and they serve on for a little longer than `drain_ms`.

use std::{io, path::Path, process::ExitCode, thread, time::Duration};

use review_standin_3::{
    deployment::{self, Deployment},
    server::Server,
};

/// Bound of the pages for this deployment.
const DRAIN: Duration = Duration::from_millis(2000);

/// Time from a wave of requests to the moment at which the servers leave; all its requests are answered by then.
const LEAVE_AFTER: Duration = Duration::from_millis(300);

/// Time from one wave to the next.
const WAVE_INTERVAL: Duration = Duration::from_millis(2500);

/// Time for which the servers serve on: `drain_ms` and a little longer.
const SERVE_ON: Duration = Duration::from_millis(2260);

/// Time for which a request runs; the sheet allows up to 110 ms.
const WORK: Duration = Duration::from_millis(90);

fn main() -> ExitCode {
    deployment::main(play)
}

fn play(case: &Path, has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::start(case, WORK)?;
    let record = deployment.record.clone();
    for name in ["first", "second"] {
        deployment.send_wave(name);
        thread::sleep(WAVE_INTERVAL);
    }
    deployment.send_wave("before");
    thread::sleep(LEAVE_AFTER);
    let leaving: Vec<Server> = deployment.servers[..2].to_vec();
    let mut gone_at = None;
    if has_trouble {
        leaving.iter().for_each(Server::leave);
        let keys: Vec<String> = leaving.iter().map(Server::key).collect();
        deployment.store.remove(&keys);
        gone_at = Some(record.say(&format!("the store has removed {}", keys.join(" and "))));
    }
    thread::sleep(WAVE_INTERVAL - LEAVE_AFTER);
    deployment.send_wave("after");
    thread::sleep(SERVE_ON - (WAVE_INTERVAL - LEAVE_AFTER));
    if has_trouble {
        leaving.iter().for_each(|server| server.listener.close());
        record.say("both servers have ended");
    }
    thread::sleep(Duration::from_millis(1500));
    deployment.send_wave("last");
    thread::sleep(Duration::from_secs(2));
    let (answers, runs) = deployment.finish()?;
    let Some(gone_at) = gone_at else {
        record.say("no server left");
        return Ok(false);
    };
    let late = runs.iter().filter(|run| {
        let is_gone = leaving.iter().any(|server| server.options.id == run.server);
        is_gone && run.at.saturating_sub(gone_at) > DRAIN
    });
    let mut count = 0;
    for run in late {
        count += 1;
        let after = run.at.saturating_sub(gone_at).as_secs_f64();
        let status = answers.iter().find(|answer| answer.attempt == run.attempt);
        let status = status.map_or(0, |answer| answer.status);
        record.say(&format!(
            "DRAIN: {} reached {} {after:.3} s after the store had acknowledged that it is gone; the client got {status}",
            run.attempt, run.server
        ));
    }
    record.say(&format!(
        "{count} requests reached a server later than `drain_ms`"
    ));
    Ok(count > 0)
}
