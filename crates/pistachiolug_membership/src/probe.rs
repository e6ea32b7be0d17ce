//! Probes that admit an instance again after a direct sign barred it.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use pistachiolug_http::client::Client;
use pistachiolug_kernel::timer::Timer;
use pistachiolug_wire::instance::Instance;

use crate::view::View;

/// Interval between two looks for due probes.
const INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of probes begun per look.
const PROBES: usize = 8;

/// Longest time one probe may take.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Largest accepted answer in bytes.
const ANSWER_BYTES: usize = 4096;

/// Probes barred instances until the process stops.
pub async fn run(view: View, timer: Timer) {
    let client = Client::new(0);
    let mut ticks = timer.subscribe(INTERVAL, INTERVAL / 4);
    loop {
        ticks.next().await;
        let (began, due) = view.take_due(PROBES);
        for instance in due {
            let view = view.clone();
            let client = client.clone();
            tokio::spawn(async move {
                if is_ready(&client, &instance).await {
                    view.clear(&instance.name, began);
                }
            });
        }
    }
}

async fn is_ready(client: &Client, instance: &Instance) -> bool {
    let url = format!("http://{}/readyz", instance.address);
    let Ok(request) = Request::get(url).body(Bytes::new()) else {
        return false;
    };
    let answer = client.fetch(request, ANSWER_BYTES, TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
