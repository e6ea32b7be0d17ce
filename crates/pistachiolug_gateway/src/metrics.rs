//! Counters and latency histograms of an entry.

use pistachiolug_kernel::metric::{Counters, Error, LibrarySnafu};
use prometheus::{Histogram, HistogramOpts, IntCounter, IntGauge, Registry};
use snafu::ResultExt;

use crate::{losses::Verdict, reply::Reason};

/// Bucket bounds of the latency histograms in seconds, around the target latencies and deadlines of calls.
const BUCKETS_SECONDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Outcome of a request that a server answered.
pub const ANSWERED: &str = "answered";

/// Outcome of a stream that broke off after its head was sent.
pub const BROKEN: &str = "broken";

/// Outcome of a request whose caller disconnected.
pub const CALLER_LEFT: &str = "caller-left";

/// Label of a lost request whose content may run again.
pub const ALLOWED: &str = "allowed";

/// Label of a lost request whose content is refused from now on.
pub const REFUSED: &str = "refused";

/// Label of a part of prompts that was named as the cause of crashes.
pub const NAMED: &str = "named";

/// Label of a part that is no longer named.
pub const CLEARED: &str = "cleared";

/// Label of a run of a request with a named part.
pub const RERUN: &str = "rerun";

/// Cause for which a server gets no requests: it has asked for a backoff.
pub const BACKOFF: &str = "backoff";

/// Cause for which a server gets no requests: it has stated that it is draining.
pub const DRAINING: &str = "draining";

/// Cause for which a server gets fewer requests: it has stated a limit.
pub const LIMITED: &str = "limited";

/// Label of prompt tokens that a server was expected to hold.
pub const EXPECTED: &str = "expected";

/// Label of those that it did not hold, by the time to its first event.
pub const WRONG: &str = "wrong";

/// Label of a request that found no slot and left some to more urgent ones.
pub const HELD_BACK: &str = "held-back";

/// Label of a slot that went to a priority or workspace below its floor.
pub const FLOOR: &str = "floor";

/// Limit that acted: a connection was closed at once, because there were too many.
pub const CONNECTION_REFUSED: &str = "connection-refused";

/// Limit that acted: a connection was closed for a new one.
pub const CONNECTION_REPLACED: &str = "connection-replaced";

/// Limit that acted: a connection was closed because its peer did not read.
pub const CONNECTION_UNREAD: &str = "connection-unread";

/// Outcomes of requests.
const OUTCOMES: [&str; 17] = [
    ANSWERED,
    BROKEN,
    CALLER_LEFT,
    Reason::Starting.as_str(),
    Reason::NoRoute.as_str(),
    Reason::BadKey.as_str(),
    Reason::TooLarge.as_str(),
    Reason::NoMemory.as_str(),
    Reason::BadBody.as_str(),
    Reason::CrashSuspect.as_str(),
    Reason::Overloaded.as_str(),
    Reason::Backoff.as_str(),
    Reason::Limited.as_str(),
    Reason::Unavailable.as_str(),
    Reason::Stopping.as_str(),
    Reason::Lost.as_str(),
    Reason::Late.as_str(),
];

/// Metrics of an entry.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Requests by outcome.
    pub outcomes: Counters,
    /// Further attempts at servers by cause.
    pub retries: Counters,
    /// Checks of servers at which requests were lost, by verdict.
    pub loss_checks: Counters,
    /// Lost requests whose server has crashed, by whether the request may run again.
    pub crashes: Counters,
    /// Parts of prompts by what became of them: named as the cause of crashes, no longer named, run again.
    pub parts: Counters,
    /// Servers that have said in an answer that they want no requests or fewer, by cause.
    pub servers_withdrawn: Counters,
    /// Reservations of slots for urgent requests, by what they changed.
    pub reservations: Counters,
    /// Connections on which a limit acted, by limit.
    pub limits: Counters,
    /// Headers of servers' answers that this version does not know.
    pub unknown_headers: IntCounter,
    /// Prompt tokens that servers were expected to hold, and those of them that they did not.
    pub prefix_tokens: Counters,
    /// Availability zones that are evacuated.
    pub evacuated_zones: IntGauge,
    /// Servers that count as cold and get few requests.
    pub cold_servers: IntGauge,
    /// Servers that work more slowly than usual now.
    pub slow_servers: IntGauge,
    /// Seconds from a request's arrival to the head of a server's answer.
    pub head_seconds: Histogram,
    /// Seconds from a request's arrival to its stream's first event.
    pub first_event_seconds: Histogram,
    /// Seconds that requests waited for a slot.
    pub wait_seconds: Histogram,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// [`Error::Library`] if a name is already registered.
    pub fn register(registry: &Registry) -> Result<Self, Error> {
        Ok(Self {
            outcomes: Counters::register(
                registry,
                "pistachiolug_gateway_requests_total",
                "Requests by outcome.",
                "outcome",
                &OUTCOMES,
            )?,
            retries: Counters::register(
                registry,
                "pistachiolug_gateway_retries_total",
                "Further sends of a request by cause.",
                "cause",
                &[
                    "unsent", "withheld", "not-run", "lost", "failed", "silent", "outdated",
                ],
            )?,
            loss_checks: Counters::register(
                registry,
                "pistachiolug_gateway_loss_checks_total",
                "Checks of servers at which requests were lost, by verdict.",
                "verdict",
                &[
                    Verdict::Refused.as_str(),
                    Verdict::Closed.as_str(),
                    Verdict::Accepted.as_str(),
                    Verdict::Unreachable.as_str(),
                ],
            )?,
            crashes: Counters::register(
                registry,
                "pistachiolug_gateway_suspected_crashes_total",
                "Lost requests whose server has crashed, by what becomes of the request.",
                "request",
                &[ALLOWED, REFUSED],
            )?,
            parts: Counters::register(
                registry,
                "pistachiolug_gateway_suspected_parts_total",
                "Parts of prompts that were named as the cause of crashes, cleared or run again.",
                "change",
                &[NAMED, CLEARED, RERUN],
            )?,
            servers_withdrawn: Counters::register(
                registry,
                "pistachiolug_gateway_servers_withdrawn_total",
                "Servers that have said in an answer that they want no requests or fewer, by cause.",
                "cause",
                &[BACKOFF, DRAINING, LIMITED],
            )?,
            reservations: Counters::register(
                registry,
                "pistachiolug_gateway_reservations_total",
                "Requests that left slots to more urgent ones, and slots given below a floor of service.",
                "change",
                &[HELD_BACK, FLOOR],
            )?,
            limits: Counters::register(
                registry,
                "pistachiolug_gateway_limited_connections_total",
                "Connections on which a limit acted, by limit.",
                "limit",
                &[CONNECTION_REFUSED, CONNECTION_REPLACED, CONNECTION_UNREAD],
            )?,
            unknown_headers: counter(
                registry,
                "pistachiolug_gateway_unknown_headers_total",
                "Names of unknown headers in answers of servers.",
            )?,
            prefix_tokens: Counters::register(
                registry,
                "pistachiolug_gateway_prefix_tokens_total",
                "Prompt tokens that servers were expected to hold, and those expected wrongly.",
                "expectation",
                &[EXPECTED, WRONG],
            )?,
            evacuated_zones: gauge(
                registry,
                "pistachiolug_gateway_evacuated_zones",
                "Availability zones whose servers get no requests, by operators' orders.",
            )?,
            cold_servers: gauge(
                registry,
                "pistachiolug_gateway_cold_servers",
                "Servers that count as cold, which all entries together send few requests.",
            )?,
            slow_servers: gauge(
                registry,
                "pistachiolug_gateway_slow_servers",
                "Servers whose pace is at least 1.25 times the usual one.",
            )?,
            head_seconds: histogram(registry, "head", "Time to the head of a server's answer.")?,
            first_event_seconds: histogram(
                registry,
                "first_event",
                "Time to a stream's first event.",
            )?,
            wait_seconds: histogram(registry, "wait", "Time that requests waited in line.")?,
        })
    }
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, Error> {
    let gauge = IntGauge::new(name, help).context(LibrarySnafu)?;
    registry
        .register(Box::new(gauge.clone()))
        .context(LibrarySnafu)?;
    Ok(gauge)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, Error> {
    let counter = IntCounter::new(name, help).context(LibrarySnafu)?;
    let registered = registry.register(Box::new(counter.clone()));
    registered.context(LibrarySnafu)?;
    Ok(counter)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram, Error> {
    let name = format!("pistachiolug_gateway_{name}_seconds");
    let options = HistogramOpts::new(name, help).buckets(BUCKETS_SECONDS.to_vec());
    let histogram = Histogram::with_opts(options).context(LibrarySnafu)?;
    let registered = registry.register(Box::new(histogram.clone()));
    registered.context(LibrarySnafu)?;
    Ok(histogram)
}
