//! Probes of excluded instances, which are readmitted when a probe succeeds.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use pistachiolug_http::{
    client::Client,
    secret::{self, Secret},
};
use pistachiolug_kernel::timer::Timer;
use pistachiolug_wire::instance::Instance;
use serde::Deserialize;

use crate::view::View;

/// Interval between two checks for due probes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of probes that are started per check.
const MAX_PROBES_PER_CHECK: usize = 8;

/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest accepted size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Phase of a process that takes calls, as written in its state dump.
const RUNNING_PHASE: &str = "running";

/// Fields of a state dump that a probe reads.
#[derive(Debug, Deserialize)]
struct State {
    /// Name of the instance; differs if another instance has taken over the address.
    instance: String,
    phase: String,
}

/// Probes excluded instances when they are due and readmits those that take calls; never returns.
pub async fn run(view: View, timer: Timer, secret: Secret) {
    let client = Client::new(0);
    let mut ticks = timer.subscribe(CHECK_INTERVAL, CHECK_INTERVAL / 4);
    loop {
        ticks.next().await;
        let (started_at, due) = view.take_due_probes(MAX_PROBES_PER_CHECK);
        for instance in due {
            let view = view.clone();
            let client = client.clone();
            let secret = secret.clone();
            tokio::spawn(async move {
                if is_ready(&client, &secret, &instance).await {
                    view.readmit(&instance.name, started_at);
                }
            });
        }
    }
}

/// Returns whether the process at the instance's address is that instance and takes calls.
async fn is_ready(client: &Client, secret: &Secret, instance: &Instance) -> bool {
    let request = Request::get(format!("http://{}/debug/state", instance.address))
        .header(secret::HEADER, secret.expose())
        .body(Bytes::new());
    let Ok(request) = request else {
        return false;
    };
    let Ok(answer) = client.fetch(request, MAX_ANSWER_BYTES, PROBE_TIMEOUT).await else {
        return false;
    };
    let state = serde_json::from_slice::<State>(answer.body());
    state.is_ok_and(|state| state.instance == instance.name && state.phase == RUNNING_PHASE)
}
