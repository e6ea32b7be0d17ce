//! Probes that admit an instance again after a direct sign barred it.

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

/// Interval between two looks for due probes.
const INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of probes begun per look.
const PROBES: usize = 8;

/// Longest time one probe may take.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Largest accepted answer in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Phase of a process that takes calls, as its state dump names it.
const RUNNING: &str = "running";

/// Parts of a state dump that a probe reads.
#[derive(Debug, Deserialize)]
struct State {
    /// Name of the instance, which tells it from another one that got its address.
    instance: String,
    phase: String,
}

/// Probes barred instances until the process stops.
pub async fn run(view: View, timer: Timer, secret: Secret) {
    let client = Client::new(0);
    let mut ticks = timer.subscribe(INTERVAL, INTERVAL / 4);
    loop {
        ticks.next().await;
        let (began, due) = view.take_due_probes(PROBES);
        for instance in due {
            let view = view.clone();
            let client = client.clone();
            let secret = secret.clone();
            tokio::spawn(async move {
                if is_ready(&client, &secret, &instance).await {
                    view.readmit(&instance.name, began);
                }
            });
        }
    }
}

async fn is_ready(client: &Client, secret: &Secret, instance: &Instance) -> bool {
    let request = Request::get(format!("http://{}/debug/state", instance.address))
        .header(secret::HEADER, secret.expose())
        .body(Bytes::new());
    let Ok(request) = request else {
        return false;
    };
    let Ok(answer) = client.fetch(request, ANSWER_BYTES, TIMEOUT).await else {
        return false;
    };
    let state = serde_json::from_slice::<State>(answer.body());
    state.is_ok_and(|state| state.instance == instance.name && state.phase == RUNNING)
}
