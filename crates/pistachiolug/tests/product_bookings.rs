//! Bookings sent twice at the same moment, over two entries and two instances of the service.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use pistachiolug_bench::{
    experiment::record,
    rig::deployment::{Deployment, PAID_KEY, Size},
};
use pistachiolug_http::client::Client;
use serde_json::json;

/// Longest wait for an answer, and until the entries know the instances.
const PATIENCE: Duration = Duration::from_secs(60);

/// Largest accepted answer in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Bookings that are sent twice.
const BOOKINGS: usize = 20;

async fn book(client: &Client, entry: SocketAddr, key: &str) -> Response<Bytes> {
    let request = Request::post(format!("http://{entry}/services/booking/orders"))
        .header(header::AUTHORIZATION, format!("Bearer {PAID_KEY}"))
        .header("idempotency-key", key)
        .body(json!({ "kilos": 40 }).to_string().into())
        .expect("request is well formed");
    let sent = client.fetch(request, ANSWER_BYTES, PATIENCE).await;
    sent.expect("the entry answers every call")
}

async fn warm_up(client: &Client, entry: SocketAddr, key: &str) {
    let answered = async {
        while book(client, entry, key).await.status() != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let answered = tokio::time::timeout(PATIENCE, answered).await;
    answered.expect("bookings are answered in the end");
}

#[tokio::test(flavor = "multi_thread")]
async fn twins_run_once_and_both_get_the_answer() {
    let deployment = Deployment::start(&Size::new(0, 2, 2)).await;
    let deployment = deployment.expect("deployment starts");
    deployment.prepare("v1").await.expect("lists are written");
    let client = Client::new(16);
    let entries = deployment.entries.iter().filter_map(|entry| entry.callers);
    let entries: Vec<SocketAddr> = entries.collect();
    for (index, entry) in entries.iter().enumerate() {
        warm_up(&client, *entry, &format!("warm-{index}")).await;
    }

    for number in 0..BOOKINGS {
        let key = format!("twin-{number}");
        let (one, other) = tokio::join!(
            book(&client, entries[0], &key),
            book(&client, entries[1], &key)
        );

        assert_eq!(one.status(), StatusCode::OK, "{:?}", one.body());
        assert_eq!(other.status(), StatusCode::OK, "{:?}", other.body());
        assert_eq!(one.body(), other.body(), "both get the one run's answer");
    }
    let record = record::read(&deployment).await.expect("stand-ins answer");
    assert_eq!(record.bookings.len(), BOOKINGS + entries.len());
    assert!(
        record.bookings.values().all(|runs| *runs == 1),
        "{record:?}"
    );
}
