//! Bounds on the connections of an entry's ports, and the reports of when they act.

use std::{rc::Rc, time::Duration};

use pistachiolug_http::connections::{Bound, Connections, Totals};
use pistachiolug_kernel::timer::Ticks;

use crate::{
    metrics::{CONNECTION_REFUSED, CONNECTION_REPLACED, CONNECTION_UNREAD},
    state::State,
};

/// Interval at which connections whose peers don't read are closed and the bounds that acted are logged; bounds the
/// number of log lines.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for which an answer waits for a peer that does not read. Much more than any time limit of the pages.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Port of an entry with its connections.
#[derive(Debug, Clone)]
pub struct Port {
    /// Name in the log.
    pub name: &'static str,
    /// Open connections.
    pub connections: Connections,
}

impl Port {
    /// Creates a port without connections.
    pub fn new(name: &'static str, connections: usize, receive_bytes: usize) -> Self {
        Self {
            name,
            connections: Connections::new(Bound {
                connections,
                receive_bytes: Some(receive_bytes),
                write_timeout: WRITE_TIMEOUT,
            }),
        }
    }
}

/// Closes connections whose peers don't read, and reports the bounds that acted, without end.
pub async fn watch(state: Rc<State>, ports: [Port; 3], mut ticks: Ticks) {
    let mut known = [Totals::default(); 3];
    loop {
        ticks.next().await;
        for (port, known) in ports.iter().zip(&mut known) {
            port.connections.close_unread();
            let totals = port.connections.totals();
            if totals == *known {
                continue;
            }
            let refused = totals.refused - known.refused;
            let replaced = totals.replaced - known.replaced;
            let unread = totals.unread - known.unread;
            *known = totals;
            let limits = &state.metrics.limits;
            limits.get(CONNECTION_REFUSED).inc_by(refused);
            limits.get(CONNECTION_REPLACED).inc_by(replaced);
            limits.get(CONNECTION_UNREAD).inc_by(unread);
            let bound = port.connections.bound().connections;
            log::warn!(port = port.name, bound, refused, replaced, unread; "connections limited");
        }
    }
}
