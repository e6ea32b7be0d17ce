//! Another writer puts an entry that lacks a field in the place of that of a server which has reported `draining`.

use std::{io, path::Path, process::ExitCode, thread, time::Duration};

use review_standin_3::deployment::{self, Deployment};

/// Bound of the pages for this deployment.
const DRAIN: Duration = Duration::from_millis(2000);

/// Time from the report of `draining` to the end of the server.
const END_AFTER: Duration = Duration::from_millis(2900);

/// Time from the report of `draining` to the entry of the other writer.
const FOREIGN_AFTER: Duration = Duration::from_millis(2700);

/// Time for which a request runs; the sheet allows up to 110 ms.
const WORK: Duration = Duration::from_millis(90);

/// Field that the entry of the other writer lacks.
const MISSING: &str = "\"cold_remaining_ms\":0,";

fn main() -> ExitCode {
    deployment::main(play)
}

fn play(case: &Path, has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::start(case, WORK)?;
    let record = deployment.record.clone();
    let store = deployment.store.clone();
    deployment.send_wave("first");
    thread::sleep(Duration::from_secs(1));
    let server = deployment.servers[0].clone();
    let key = server.key();
    server.leave();
    let report = server.entry("draining");
    store.put(&key, &report);
    let reported_at = record.say(&format!("the store has accepted {key}: {report}"));
    thread::sleep(FOREIGN_AFTER);
    if has_trouble {
        let foreign = server.entry("ready").replace(MISSING, "");
        store.put(&key, &foreign);
        record.say(&format!("another writer has put {key}: {foreign}"));
    }
    thread::sleep(Duration::from_millis(150));
    deployment.send_wave("after");
    // The server ends as it has said, a little later than `drain_ms`.
    thread::sleep((reported_at + END_AFTER).saturating_sub(record.now()));
    server.listener.close();
    store.remove(&[key]);
    record.say(&format!(
        "{} has ended, and its entry is gone",
        server.options.id
    ));
    thread::sleep(Duration::from_secs(2));
    let (answers, runs) = deployment.finish()?;
    let late = runs.iter().filter(|run| {
        run.server == server.options.id && run.at.saturating_sub(reported_at) > DRAIN
    });
    let mut count = 0;
    for run in late {
        count += 1;
        let after = run.at.saturating_sub(reported_at).as_secs_f64();
        let status = answers.iter().find(|answer| answer.attempt == run.attempt);
        let status = status.map_or(0, |answer| answer.status);
        record.say(&format!(
            "DRAIN: {} reached {} {after:.3} s after the store had accepted that it is draining; the client got {status}",
            run.attempt, run.server
        ));
    }
    record.say(&format!(
        "{count} requests reached the server later than `drain_ms`"
    ));
    Ok(count > 0)
}
