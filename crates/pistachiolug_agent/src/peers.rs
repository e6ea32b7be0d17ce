//! Requests of an agent to other processes of the deployment.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use pistachiolug_http::{
    client::Client,
    secret::{self, Secret},
};
use pistachiolug_wire::{
    call::Id,
    codec, crash,
    limit::{Ask, Grant},
    notice::Leaving,
};

/// Longest time a notice may take.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Attempts to bring a notice to one entry.
const NOTICE_ATTEMPTS: u32 = 3;

/// Longest time the read of an engine's cache may take; a resume without it is slower, not wrong.
const CACHE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time a crash notice may take.
const CRASH_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time an ask for a customer's limit may take; it delays the call.
const LIMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest accepted engine cache of one call, in bytes.
const CACHE_BYTES: usize = 4 << 20;

/// Largest accepted answer to a notice, in bytes.
const ANSWER_BYTES: usize = 4096;

/// Sends to other processes; clones share connections.
#[derive(Debug, Clone)]
pub struct Peers {
    client: Client,
    secret: Secret,
}

impl Peers {
    /// Creates the service.
    pub fn new(client: Client, secret: Secret) -> Self {
        Self { client, secret }
    }

    /// Tells an entry that this instance leaves; the instance list tells those that can't be reached.
    pub async fn notify_leaving(&self, entry: SocketAddr, notice: &Leaving) {
        let body = codec::encode(notice);
        for _ in 0..NOTICE_ATTEMPTS {
            let request = Request::post(format!("http://{entry}/internal/leaving"))
                .header(secret::HEADER, self.secret.expose())
                .body(body.clone());
            let Ok(request) = request else {
                return;
            };
            let sent = self.client.fetch(request, ANSWER_BYTES, NOTICE_TIMEOUT);
            match sent.await {
                Ok(_) => return,
                Err(error) => log::info!(entry:%, error:%; "leaving notice not delivered"),
            }
        }
    }

    /// Tells an agent of crashes; one that can't be reached learns from the lists.
    pub async fn notify_crashes(&self, agent: SocketAddr, notice: &crash::Notice) {
        let request = Request::post(format!("http://{agent}/internal/crash"))
            .header(secret::HEADER, self.secret.expose())
            .body(codec::encode(notice));
        let Ok(request) = request else {
            return;
        };
        let sent = self.client.fetch(request, ANSWER_BYTES, CRASH_TIMEOUT);
        if let Err(error) = sent.await {
            log::info!(agent:%, error:%; "crash notice not delivered");
        }
    }

    /// Asks the keeper of a customer's limit whether a call may pass; `None` if it does not answer.
    pub async fn ask_limit(&self, keeper: SocketAddr, ask: &Ask) -> Option<Grant> {
        let request = Request::post(format!("http://{keeper}/internal/limit"))
            .header(secret::HEADER, self.secret.expose())
            .body(codec::encode(ask))
            .ok()?;
        let response = self.client.fetch(request, ANSWER_BYTES, LIMIT_TIMEOUT);
        let response = response.await.ok()?;
        codec::decode(response.body()).ok()
    }

    /// Reads the engine's cache of a call that another agent gave up; `None` if it can't be had.
    pub async fn fetch_cache(&self, agent: SocketAddr, call: Id) -> Option<Bytes> {
        let request = Request::get(format!("http://{agent}/internal/cache/{call}"))
            .header(secret::HEADER, self.secret.expose())
            .body(Bytes::new())
            .ok()?;
        let response = self.client.fetch(request, CACHE_BYTES, CACHE_TIMEOUT);
        let response = response.await.ok()?;
        let found = response.status() == StatusCode::OK;
        found.then(|| response.into_body())
    }
}
