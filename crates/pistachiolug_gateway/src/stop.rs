//! Stages of a stop: the entry is unready at once, accepts connections for a while, and then finishes open requests.

use std::time::Duration;

/// Time after a stop signal for which new connections are accepted. The load balancer checks once a second and needs
/// two failed checks to notice. If it has no other entry, it goes on sending; requests sent later than this could not
/// be finished.
const ACCEPT_TIME: Duration = Duration::from_millis(2600);

/// Time after the last connection was accepted in which its request may still arrive; much more than the delay between
/// regions.
const READ_TIME: Duration = Duration::from_millis(200);

/// Time before the end of the process at which the last answers are given: more than the delay between regions.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Factor on the time that servers work on requests, for those that take longer than others, and for the connection.
const WORK_MARGIN: f64 = 1.5;

/// Change of the known time of work by a request, as a share of the difference: a request that took longer counts much more
/// than one that took less.
const RISE: f64 = 0.5;
const FALL: f64 = 0.02;

/// Time that servers work on requests of one kind, as long as all but a few of them took lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    /// `None` before the first request.
    time: Option<Duration>,
}

impl Work {
    /// Records how long a server took for a request.
    pub fn record(&mut self, taken: Duration) {
        let known = self.time.unwrap_or(taken);
        let rise = taken.saturating_sub(known).mul_f64(RISE);
        let fall = known.saturating_sub(taken).mul_f64(FALL);
        self.time = Some((known + rise).saturating_sub(fall));
    }

    /// Returns the time; `None` before the first request.
    pub fn time(&self) -> Option<Duration> {
        self.time
    }
}

/// Returns when the last answers are given before the process ends at `end`.
pub fn last_answer_at(end: Duration) -> Duration {
    end.saturating_sub(ANSWER_TIME)
}

/// Returns the time until which a request may be sent to a server. One that is sent later would be cut off, although another
/// entry could have it served: the load are requests that come, or whose last bytes come, late in a stop.
///
/// # Arguments
/// `end` is when the process ends, `work` how long servers work on such requests, and `deadline` when the request has to be
/// answered. One whose deadline passes before the end is answered whenever it is sent.
pub fn latest_send(end: Duration, work: Duration, deadline: Duration) -> Duration {
    let last_answer_at = last_answer_at(end);
    if deadline <= last_answer_at {
        return deadline;
    }
    last_answer_at.saturating_sub(work.mul_f64(WORK_MARGIN))
}

/// Stage of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// New connections are accepted, each for one request.
    Accepting,
    /// No connection is accepted; open requests continue.
    Finishing,
    /// The process may end.
    Done,
}

/// Returns the stage of a stop.
///
/// # Arguments
/// `elapsed` is the time since the stop signal, `open` the number of open requests and of connections whose answer is not
/// written yet.
pub fn stage(elapsed: Duration, open: usize) -> Stage {
    if elapsed < ACCEPT_TIME {
        Stage::Accepting
    } else if open > 0 || elapsed < ACCEPT_TIME + READ_TIME {
        Stage::Finishing
    } else {
        Stage::Done
    }
}
