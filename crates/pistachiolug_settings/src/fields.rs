//! Fields of the settings files: one table that checking, the editors' schema and the operators' page follow.

/// Field of an object.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Name.
    pub name: &'static str,
    /// What it holds.
    pub kind: Kind,
    /// Whether it may be left out.
    pub need: Need,
    /// Text for the schema and the operators' page.
    pub about: &'static str,
}

/// What a field holds.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// Text that is not empty.
    Text,
    /// Name of lower-case letters, digits and hyphens.
    Name,
    /// IP number and port, such as `10.0.0.1:7000`.
    Address,
    /// HTTP address by IP number, such as `http://10.0.0.1:7000`.
    Url,
    /// Path of a file.
    Path,
    /// Whole number.
    Whole {
        /// Unit.
        unit: Unit,
        /// Least value.
        least: u64,
        /// Largest value.
        most: u64,
    },
    /// Number with a fraction.
    Real {
        /// Least value.
        least: f64,
        /// Largest value.
        most: f64,
    },
    /// One of some texts.
    Choice(&'static [&'static str]),
    /// `true` or `false`.
    Flag,
    /// Content digest: 64 hexadecimal digits.
    Digest,
    /// Object.
    Object(&'static [Field]),
    /// Array whose elements are all of one kind.
    Array(&'static Kind),
}

/// Unit of a whole number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Count.
    Count,
    /// Milliseconds.
    Millis,
    /// Bytes.
    Bytes,
}

impl Unit {
    /// Returns the unit's name for messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Count => "whole number",
            Self::Millis => "whole number of milliseconds",
            Self::Bytes => "whole number of bytes",
        }
    }
}

/// Whether a field may be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Always there.
    Required,
    /// Has a default.
    Optional,
    /// Required for entries, not allowed for agents.
    Entry,
    /// Required for agents, not allowed for entries.
    Agent,
}

/// Longest time that a setting may name, in milliseconds: one day.
const DAY_MS: u64 = 86_400_000;

const fn field(name: &'static str, kind: Kind, need: Need, about: &'static str) -> Field {
    Field {
        name,
        kind,
        need,
        about,
    }
}

const fn whole(unit: Unit, least: u64, most: u64) -> Kind {
    Kind::Whole { unit, least, most }
}

/// Fields of a daemon's settings.
#[rustfmt::skip]
pub const DAEMON: &[Field] = &[
    field("instance", Kind::Name, Need::Required, "Unique name of the instance; a replacement gets a new one."),
    field("region", Kind::Name, Need::Required, "Region the instance stands in."),
    field("zone", Kind::Name, Need::Required, "Availability zone the instance stands in."),
    field("internal", Kind::Address, Need::Required, "Address for other processes of the system."),
    field("callers", Kind::Address, Need::Entry, "Address for callers; entries only."),
    field("secret_file", Kind::Path, Need::Optional, "File with the deployment's secret; else `PISTACHIOLUG_SECRET` is read."),
    field("platform", Kind::Object(PLATFORM), Need::Required, "Services of the platform."),
    field("backend", Kind::Object(BACKEND), Need::Agent, "Backend server beside the agent; agents only."),
    field("weights", Kind::Object(WEIGHTS), Need::Optional, "Spread of weights; agents only."),
    field("calls", Kind::Object(CALLS), Need::Optional, "Calls."),
    field("log_level", Kind::Choice(&["error", "warn", "info", "debug", "trace"]), Need::Optional, "Least severe level that is logged; `info`."),
];

/// Fields of `platform`.
#[rustfmt::skip]
pub const PLATFORM: &[Field] = &[
    field("key_value", Kind::Url, Need::Required, "Key-value service."),
    field("instances", Kind::Url, Need::Required, "Instance list."),
    field("origin", Kind::Url, Need::Required, "Origin of the weights."),
    field("store", Kind::Url, Need::Optional, "Rate-limited weight store."),
];

/// Fields of `backend`.
#[rustfmt::skip]
pub const BACKEND: &[Field] = &[
    field("service", Kind::Name, Need::Required, "Service that the backend server belongs to."),
    field("kind", Kind::Choice(&["model", "plain"]), Need::Required, "`model` for a model engine, `plain` for a plain service."),
    field("address", Kind::Url, Need::Required, "Address of the backend server."),
    field("fencing", Kind::Choice(&["checked", "ignored"]), Need::Optional, "Whether the engine refuses orders with an old fencing number; `ignored`."),
    field("slots", whole(Unit::Count, 1, 65_536), Need::Optional, "Calls the backend server runs at once; 16."),
    field("tokens_per_second", whole(Unit::Count, 1, 100_000_000), Need::Optional, "Tokens the engine generates a second over all its calls; 4000."),
];

/// Fields of `weights`.
#[rustfmt::skip]
pub const WEIGHTS: &[Field] = &[
    field("policy", Kind::Choice(&["time-first", "bytes-first"]), Need::Optional, "What the spread saves first: time to N replicas or bytes read from the origin; `time-first`."),
    field("staging_bytes", whole(Unit::Bytes, 1 << 20, 1 << 50), Need::Optional, "Bytes of weights that may be staged in memory; 8 GiB."),
    field("link_bytes_per_second", whole(Unit::Bytes, 1_000, 1 << 50), Need::Optional, "Capacity of the instance's link each way in bytes a second; 1250000000."),
    field("upload_copies", Kind::Real { least: 0.0, most: 16.0 }, Need::Optional, "Copies of a version that an instance may upload to neighbours; 2."),
    field("home_region", Kind::Name, Need::Optional, "Region nearest to the origin; in a bytes-first spread the other regions read from it, so that one copy leaves the origin. Unset: each region reads the origin."),
];

/// Fields of `calls`.
#[rustfmt::skip]
pub const CALLS: &[Field] = &[
    field("deadline_ms", whole(Unit::Millis, 1, DAY_MS), Need::Optional, "Time a caller waits at most when it names no deadline; 60000."),
    field("drain_ms", whole(Unit::Millis, 0, DAY_MS), Need::Optional, "Time a leaving process waits for its calls; 600000."),
    field("heartbeat_ms", whole(Unit::Millis, 10, 60_000), Need::Optional, "Heartbeat interval inside open streams; 500."),
    field("body_bytes", whole(Unit::Bytes, 1_024, 1 << 30), Need::Optional, "Largest request body; 4194304."),
];

/// Fields of an operator's settings.
#[rustfmt::skip]
pub const OPERATOR: &[Field] = &[
    field("key_value", Kind::Url, Need::Required, "Key-value service."),
    field("instances", Kind::Url, Need::Required, "Instance list."),
    field("secret_file", Kind::Path, Need::Optional, "File with the deployment's secret; else `PISTACHIOLUG_SECRET` is read."),
];
