//! Queries to neighbours for the pieces that they hold.

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

/// Maximum time for which a response may be held back, as a multiple of the query interval.
const WAIT_INTERVALS: u32 = 4;

/// Largest accepted response in bytes: enough for the bits of a million pieces.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// Position in the stream of updates of one neighbour.
#[derive(Debug, Clone, Copy, Default)]
struct Position {
    epoch: u64,
    since: u32,
    /// Time before which no further query is sent.
    next_at: Duration,
    is_pending: bool,
}

/// Positions by neighbour; at most one per neighbour that the planner has had.
#[derive(Debug, Default)]
pub(super) struct Polls {
    positions: FxHashMap<Key, Position>,
}

impl Polls {
    /// Returns the next query to a neighbour and marks it as sent; `None` if none is due.
    pub(super) fn next_request(
        &mut self,
        key: Key,
        id: Digest,
        interval: Duration,
        now: Duration,
    ) -> Option<HaveRequest> {
        let position = self.positions.entry(key).or_default();
        if position.is_pending || now < position.next_at {
            return None;
        }
        position.is_pending = true;
        Some(HaveRequest {
            manifest: id,
            epoch: position.epoch,
            since: position.since,
            wait_ms: (interval * WAIT_INTERVALS).as_millis() as u32,
        })
    }

    /// Records a response and returns the pieces that it reports.
    pub(super) fn record_response(
        &mut self,
        key: Key,
        response: HaveResponse,
        next_at: Duration,
    ) -> Have {
        let position = self.positions.entry(key).or_default();
        *position = Position {
            epoch: response.epoch,
            since: response.sequence,
            next_at,
            is_pending: false,
        };
        response
            .whole
            .map_or(Have::Added(response.added), Have::Whole)
    }

    /// Records a query without a response and resets the neighbour's position.
    pub(super) fn record_failure(&mut self, key: Key, next_at: Duration) {
        let position = Position {
            next_at,
            ..Position::default()
        };
        self.positions.insert(key, position);
    }

    /// Drops the positions of members that are no longer neighbours, unless a query is in progress.
    pub(super) fn retain(&mut self, keep: impl Fn(Key) -> bool) {
        self.positions
            .retain(|key, position| position.is_pending || keep(*key));
    }
}

impl<S> Shared<S> {
    /// Queries a neighbour; `None` without a usable response.
    pub(super) async fn query(
        &self,
        address: SocketAddr,
        query: HaveRequest,
    ) -> Option<HaveResponse> {
        let request = Request::post(format!("http://{address}{HAVE_PATH}"))
            .header(secret::HEADER, self.secret.expose())
            .body(codec::encode(&query))
            .ok()?;
        let timeout =
            Duration::from_millis(query.wait_ms.into()) + self.options.tuning.stall_timeout;
        let response = self
            .client
            .fetch(request, MAX_RESPONSE_BYTES, timeout)
            .await;
        let response = response
            .ok()
            .filter(|response| response.status() == StatusCode::OK)?;
        codec::decode(response.body()).ok()
    }
}
