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

/// Timeout of one attempt to deliver a leaving notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of attempts to deliver a leaving notice to one entry.
const NOTICE_ATTEMPTS: u32 = 3;

/// Timeout for fetching the engine cache of a call; a resume without the cache is slower but correct.
const CACHE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of one crash notice.
const CRASH_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of one request to the owner of a customer's limit; it is short because the call waits for the answer.
const LIMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest accepted engine cache of one call, in bytes.
const MAX_CACHE_BYTES: usize = 4 << 20;

/// Largest accepted answer to a notice or a limit request, in bytes.
const MAX_ANSWER_BYTES: usize = 4096;

/// Client for requests to other processes; clones share its connections.
#[derive(Debug, Clone)]
pub struct Peers {
    client: Client,
    secret: Secret,
}

impl Peers {
    /// Creates a client that shows `secret` to the other processes.
    pub fn new(client: Client, secret: Secret) -> Self {
        Self { client, secret }
    }

    /// Notifies an entry that this instance leaves; one that can't be reached learns it from the instance list.
    pub async fn notify_leaving(&self, entry: SocketAddr, notice: &Leaving) {
        let body = codec::encode(notice);
        for _ in 0..NOTICE_ATTEMPTS {
            let request = Request::post(format!("http://{entry}/internal/leaving"))
                .header(secret::HEADER, self.secret.expose())
                .body(body.clone());
            let Ok(request) = request else {
                return;
            };
            let sent = self.client.fetch(request, MAX_ANSWER_BYTES, NOTICE_TIMEOUT);
            match sent.await {
                Ok(_) => return,
                Err(error) => log::info!(entry:%, error:%; "failed to deliver leaving notice"),
            }
        }
    }

    /// Notifies an agent of crashes; one that can't be reached learns of them from the lists.
    pub async fn notify_crashes(&self, agent: SocketAddr, notice: &crash::Notice) {
        let request = Request::post(format!("http://{agent}/internal/crash"))
            .header(secret::HEADER, self.secret.expose())
            .body(codec::encode(notice));
        let Ok(request) = request else {
            return;
        };
        let sent = self.client.fetch(request, MAX_ANSWER_BYTES, CRASH_TIMEOUT);
        if let Err(error) = sent.await {
            log::info!(agent:%, error:%; "failed to deliver crash notice");
        }
    }

    /// Asks the owner of a customer's limit to charge a call; `None` if it does not answer in time.
    pub async fn ask_limit(&self, owner: SocketAddr, ask: &Ask) -> Option<Grant> {
        let request = Request::post(format!("http://{owner}/internal/limit"))
            .header(secret::HEADER, self.secret.expose())
            .body(codec::encode(ask))
            .ok()?;
        let response = self.client.fetch(request, MAX_ANSWER_BYTES, LIMIT_TIMEOUT);
        let response = response.await.ok()?;
        codec::decode(response.body()).ok()
    }

    /// Fetches the engine cache of a call that another agent moved; `None` if it is not available.
    pub async fn fetch_cache(&self, agent: SocketAddr, call: Id) -> Option<Bytes> {
        let request = Request::get(format!("http://{agent}/internal/cache/{call}"))
            .header(secret::HEADER, self.secret.expose())
            .body(Bytes::new())
            .ok()?;
        let response = self.client.fetch(request, MAX_CACHE_BYTES, CACHE_TIMEOUT);
        let response = response.await.ok()?;
        let is_found = response.status() == StatusCode::OK;
        is_found.then(|| response.into_body())
    }
}
