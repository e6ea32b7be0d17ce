//! Path of a call through real processes: entry, agent and engine, with origin and lists.

use http::{Method, StatusCode};
use pistachiolug_bench::rig::deployment::{Deployment, PAID_KEY, SLOTS, Size};
use pistachiolug_standin::engine::answer;
use pistachiolug_wire::{digest::Digest, outcome};
use serde_json::{Value, json};

/// Returns weights that differ by seed.
fn weights(seed: u8) -> Vec<u8> {
    (0..300_000_u32)
        .map(|index| (index % 251) as u8 ^ seed)
        .collect()
}

/// Starts a deployment with three model agents, one plain agent and two entries, which serves version `v1`.
async fn deployment() -> Deployment {
    let size = Size {
        models: 3,
        plains: 1,
        entries: 2,
        engine_args: Vec::new(),
        origin_rate: 0,
        weights_bytes: 0,
        slots: SLOTS,
    };
    let deployment = Deployment::start(&size).await.expect("deployment starts");
    let manifest = deployment.upload("pasta", "v1", &weights(1), 65_536).await;
    let manifest = manifest.expect("weights are uploaded");
    deployment
        .write_sample_rows("v1", manifest)
        .await
        .expect("lists are written");
    deployment
        .wait_for_version("v1")
        .await
        .expect("version serves");
    deployment
        .wait_for_entries()
        .await
        .expect("entries know lists and instances");
    deployment
}

/// The answer depends on the weights and the request, so it shows that the engine has the right weights and that no
/// part of the request or the answer was lost on the way.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_complete_and_of_the_target_version() {
    let deployment = deployment().await;
    let body = json!({ "model": "pasta", "messages": [], "max_tokens": 8 }).to_string();

    for entry in &deployment.entries {
        let callers = entry.callers.expect("entry serves callers");
        let reply = deployment
            .http
            .send(
                Method::POST,
                callers,
                "/v1/chat/completions",
                Some(PAID_KEY),
                body.clone(),
            )
            .await
            .expect("entry answers");

        assert_eq!(reply.status(), StatusCode::OK, "{:?}", reply.body());
        assert_eq!(reply.headers()[outcome::HEADER], "answered");
        assert_eq!(reply.headers()[outcome::VERSION_HEADER], "v1");
        let answer: Value = serde_json::from_slice(reply.body()).unwrap();
        let expected = answer::full_text(&Digest::of(&weights(1)), body.as_bytes());
        assert_eq!(answer["choices"][0]["message"]["content"], expected);
    }
}

/// A call with an unknown key must be refused at the entry, before it runs anywhere.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_keys_are_refused() {
    let deployment = deployment().await;
    let callers = deployment.entries[0].callers.expect("entry serves callers");

    let reply = deployment
        .http
        .send(
            Method::POST,
            callers,
            "/v1/chat/completions",
            Some("stranger"),
            "{}",
        )
        .await
        .expect("entry answers");

    assert_eq!(reply.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(reply.headers()[outcome::HEADER], "not-run");
}
