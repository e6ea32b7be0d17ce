//! Bookings that are sent twice at the same time, through two entries to two instances of a plain service.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use pistachiolug_bench::{
    experiment::record,
    rig::deployment::{Deployment, PAID_KEY, Size},
};
use pistachiolug_http::client::Client;
use serde_json::json;

/// Timeout of a call, and of the wait until the entries know the instances.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum accepted size of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Number of bookings that are sent twice.
const BOOKING_COUNT: usize = 20;

/// Sends a booking with an idempotency key.
async fn book(client: &Client, entry: SocketAddr, key: &str) -> Response<Bytes> {
    let request = Request::post(format!("http://{entry}/services/booking/orders"))
        .header(header::AUTHORIZATION, format!("Bearer {PAID_KEY}"))
        .header("idempotency-key", key)
        .body(json!({ "kilos": 40 }).to_string().into())
        .expect("request is well formed");
    let sent = client.fetch(request, MAX_ANSWER_BYTES, TIMEOUT).await;
    sent.expect("the entry answers every call")
}

/// Sends bookings with one key until one is answered.
async fn warm_up(client: &Client, entry: SocketAddr, key: &str) {
    let answered = async {
        while book(client, entry, key).await.status() != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let answered = tokio::time::timeout(TIMEOUT, answered).await;
    answered.expect("a booking is answered");
}

/// A duplicate that arrives while the first booking runs must wait for its answer instead of running the booking again.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_bookings_run_once_and_get_the_same_answer() {
    let deployment = Deployment::start(&Size::new(0, 2, 2)).await;
    let deployment = deployment.expect("deployment starts");
    deployment.prepare("v1").await.expect("lists are written");
    let client = Client::new(16);
    let entries = deployment.entries.iter().filter_map(|entry| entry.callers);
    let entries: Vec<SocketAddr> = entries.collect();
    for (index, entry) in entries.iter().enumerate() {
        warm_up(&client, *entry, &format!("warm-{index}")).await;
    }

    for number in 0..BOOKING_COUNT {
        let key = format!("twin-{number}");
        let (first, second) = tokio::join!(
            book(&client, entries[0], &key),
            book(&client, entries[1], &key)
        );

        assert_eq!(first.status(), StatusCode::OK, "{:?}", first.body());
        assert_eq!(second.status(), StatusCode::OK, "{:?}", second.body());
        assert_eq!(first.body(), second.body(), "both get the one run's answer");
    }
    let record = record::read(&deployment).await.expect("stand-ins answer");
    assert_eq!(record.bookings.len(), BOOKING_COUNT + entries.len());
    assert!(
        record.bookings.values().all(|runs| *runs == 1),
        "{record:?}"
    );
}
