//! Life of a call at an entry: choose an agent, open, relay.

use std::{net::SocketAddr, time::Duration};

use pistachiolug_membership::view::{self, View};
use pistachiolug_wire::{
    call::{Body, Open, Tokens},
    fault::{Code, Fault},
};
use rand::seq::IndexedRandom;

use crate::remote::{Error, Events, Remote};

/// Time after which a caller may come back when no agent is reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs calls; clones share the view and connections.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Instances.
    pub view: View,
    /// Connections to agents.
    pub remote: Remote,
}

/// Call that an agent has taken up.
#[derive(Debug)]
pub struct Running {
    events: Events,
}

/// Part of an answer, in the order of the answer.
#[derive(Debug)]
pub enum Part {
    /// The call started on a version.
    Started(String),
    /// Generated text.
    Text(Vec<String>),
    /// Whole answer of a plain service.
    Response(pistachiolug_wire::call::Response),
    /// The answer is complete.
    Finished(pistachiolug_wire::call::Finish),
}

impl Runner {
    /// Opens a call at an agent of its service.
    ///
    /// # Errors
    /// Returns the final answer when no agent takes the call.
    pub async fn open(&self, open: &Open) -> Result<Running, Fault> {
        let agent = self.choose(&open.service)?;
        let events = self.remote.open(agent, open).await.map_err(lost)?;
        Ok(Running { events })
    }

    fn choose(&self, service: &str) -> Result<SocketAddr, Fault> {
        let snapshot = self.view.now();
        let agents: Vec<_> = view::agents(&snapshot, service).collect();
        let agent = agents.choose(&mut rand::rng());
        agent.map(|agent| agent.address).ok_or_else(|| {
            let message = "no instance of the service is live";
            Fault::not_run(Code::Unavailable, RETRY_AFTER, message)
        })
    }
}

impl Running {
    /// Waits for the next part of the answer.
    ///
    /// # Errors
    /// Returns the final answer of a call that fails.
    pub async fn next(&mut self) -> Result<Part, Fault> {
        loop {
            match self.events.next().await.map_err(lost)? {
                Body::Heartbeat(_) => {}
                Body::Started { version } => return Ok(Part::Started(version)),
                Body::Tokens(Tokens { texts, .. }) => return Ok(Part::Text(texts)),
                Body::Response(response) => return Ok(Part::Response(response)),
                Body::Finished(finish) => return Ok(Part::Finished(finish)),
                Body::Failed(fault) => return Err(fault),
                Body::Elsewhere(_) => {
                    let message = "an earlier call with the key runs at another instance";
                    return Err(Fault::unknown(Code::BackendFailed, message));
                }
            }
        }
    }
}

fn lost(error: Error) -> Fault {
    let message = error.to_string();
    match error {
        Error::Unsent { .. } => Fault::not_run(Code::Unavailable, RETRY_AFTER, &message),
        _ => Fault::unknown(Code::BackendFailed, &message),
    }
}
