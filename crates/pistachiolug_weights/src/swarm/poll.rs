//! Questions to neighbours about what they hold.

use std::{net::SocketAddr, time::Duration};

use http::{Request, StatusCode};
use pistachiolug_http::secret;
use pistachiolug_wire::{codec, digest::Digest};
use rustc_hash::FxHashMap;

use super::Shared;
use crate::{
    exchange::{HAVE_PATH, HaveRequest, HaveResponse},
    order::Key,
    planner::Have,
};

/// Time an answer may wait for news, in exchange gaps.
const WAIT_GAPS: u32 = 4;

/// Longest answer in bytes: the bits of a million pieces.
const ANSWER_BYTES: usize = 256 << 10;

/// Position in what one neighbour has told.
#[derive(Debug, Clone, Copy, Default)]
struct Position {
    epoch: u64,
    since: u32,
    /// Time before which it is not asked again.
    next: Duration,
    asking: bool,
}

/// Positions by neighbour; as many as the planner has had neighbours.
#[derive(Debug, Default)]
pub(super) struct Polls {
    positions: FxHashMap<Key, Position>,
}

impl Polls {
    /// Returns the question that is due to a neighbour.
    pub(super) fn due(
        &mut self,
        key: Key,
        id: Digest,
        gap: Duration,
        now: Duration,
    ) -> Option<HaveRequest> {
        let position = self.positions.entry(key).or_default();
        if position.asking || now < position.next {
            return None;
        }
        position.asking = true;
        Some(HaveRequest {
            manifest: id,
            epoch: position.epoch,
            since: position.since,
            wait_ms: (gap * WAIT_GAPS).as_millis() as u32,
        })
    }

    /// Takes an answer and returns what it says.
    pub(super) fn take(&mut self, key: Key, answer: HaveResponse, next: Duration) -> Have {
        let position = self.positions.entry(key).or_default();
        *position = Position {
            epoch: answer.epoch,
            since: answer.sequence,
            next,
            asking: false,
        };
        answer.whole.map_or(Have::Added(answer.added), Have::Whole)
    }

    /// Takes note of a question without an answer.
    pub(super) fn miss(&mut self, key: Key, next: Duration) {
        let position = Position {
            next,
            ..Position::default()
        };
        self.positions.insert(key, position);
    }

    /// Forgets what a neighbour has told, because it is no longer one.
    pub(super) fn retain(&mut self, keep: impl Fn(Key) -> bool) {
        self.positions
            .retain(|key, position| position.asking || keep(*key));
    }
}

impl<S> Shared<S> {
    /// Asks a neighbour; `None` when it gives no usable answer.
    pub(super) async fn ask(&self, address: SocketAddr, ask: HaveRequest) -> Option<HaveResponse> {
        let request = Request::post(format!("http://{address}{HAVE_PATH}"))
            .header(secret::HEADER, self.secret.expose())
            .body(codec::encode(&ask))
            .ok()?;
        let within = Duration::from_millis(ask.wait_ms.into()) + self.options.tuning.stall_timeout;
        let answer = self.client.fetch(request, ANSWER_BYTES, within).await;
        let answer = answer
            .ok()
            .filter(|answer| answer.status() == StatusCode::OK)?;
        codec::decode(answer.body()).ok()
    }
}
