//! Stand-ins of the users' platform for the cases of this review, one scenario per case.
//!
//! Usage: `standin CASE FOLDER` in the repository's root. Starts the project's entries, plays the store, the servers, the
//! balancer and the clients on loopback addresses, writes `record.txt` into FOLDER, and exits with 1 if the rule of the case
//! was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod http;
mod json;
mod server;
mod store;
mod world;

use std::{env, path::PathBuf, process::exit, sync::Arc, thread, time::Duration};

use world::World;

/// Longest time of a run; a run that takes longer could not be judged.
const MAX_RUN: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let world = match World::new(PathBuf::from(folder), trouble) {
        Ok(world) => Arc::new(world),
        Err(error) => {
            eprintln!("could not start: {error}");
            exit(2);
        }
    };
    let watched = Arc::clone(&world);
    thread::spawn(move || {
        thread::sleep(MAX_RUN);
        watched.note("run took too long");
        watched.finish();
        exit(2);
    });
    let played = Arc::clone(&world);
    let name = case.clone();
    let code = thread::spawn(move || cases::play(&name, &played)).join();
    let code = match code {
        Ok(Ok(true)) => 1,
        Ok(Ok(false)) => 0,
        Ok(Err(reason)) => {
            world.note(&format!("case could not run: {reason}"));
            2
        }
        Err(_) => {
            world.note("case could not run: the stand-in panicked");
            2
        }
    };
    world.note(&format!("exit {code}"));
    world.finish();
    exit(code);
}
