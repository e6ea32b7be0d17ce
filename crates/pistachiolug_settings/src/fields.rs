//! Fields of the settings files: one table that checking, the editors' schema and the operators' page follow.

/// Field of an object.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Name.
    pub name: &'static str,
    /// What it holds.
    pub kind: Kind,
    /// Whether it may be left out.
    pub presence: Presence,
    /// Text for the schema and the operators' page.
    pub description: &'static str,
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
    Integer {
        /// Unit.
        unit: Unit,
        /// Least value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// Number with a fraction.
    Float {
        /// Least value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// One of some texts.
    Choice(&'static [&'static str]),
    /// `true` or `false`.
    Boolean,
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
pub enum Presence {
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

const fn field(
    name: &'static str,
    kind: Kind,
    presence: Presence,
    description: &'static str,
) -> Field {
    Field {
        name,
        kind,
        presence,
        description,
    }
}

const fn whole(unit: Unit, min: u64, max: u64) -> Kind {
    Kind::Integer { unit, min, max }
}

/// Fields of a daemon's settings.
#[rustfmt::skip]
pub const DAEMON: &[Field] = &[
    field("instance", Kind::Name, Presence::Required, "Unique name of the instance; a replacement gets a new one."),
    field("region", Kind::Name, Presence::Required, "Region the instance stands in."),
    field("zone", Kind::Name, Presence::Required, "Availability zone the instance stands in."),
    field("internal", Kind::Address, Presence::Required, "Address for other processes of the system."),
    field("callers", Kind::Address, Presence::Entry, "Address for callers; entries only."),
    field("secret_file", Kind::Path, Presence::Optional, "File with the deployment's secret; else `PISTACHIOLUG_SECRET` is read."),
    field("platform", Kind::Object(PLATFORM), Presence::Required, "Services of the platform."),
    field("backend", Kind::Object(BACKEND), Presence::Agent, "Backend server beside the agent; agents only."),
    field("weights", Kind::Object(WEIGHTS), Presence::Optional, "Spread of weights; agents only."),
    field("calls", Kind::Object(CALLS), Presence::Optional, "Calls."),
    field("log_level", Kind::Choice(&["error", "warn", "info", "debug", "trace"]), Presence::Optional, "Least severe level that is logged; `info`."),
];

/// Fields of `platform`.
#[rustfmt::skip]
pub const PLATFORM: &[Field] = &[
    field("key_value", Kind::Url, Presence::Required, "Key-value service."),
    field("instances", Kind::Url, Presence::Required, "Instance list."),
    field("origin", Kind::Url, Presence::Required, "Origin of the weights."),
    field("store", Kind::Url, Presence::Optional, "Rate-limited weight store."),
];

/// Fields of `backend`.
#[rustfmt::skip]
pub const BACKEND: &[Field] = &[
    field("service", Kind::Name, Presence::Required, "Service that the backend server belongs to."),
    field("kind", Kind::Choice(&["model", "plain"]), Presence::Required, "`model` for a model engine, `plain` for a plain service."),
    field("address", Kind::Url, Presence::Required, "Address of the backend server."),
    field("fencing", Kind::Choice(&["checked", "ignored"]), Presence::Optional, "Whether the engine refuses orders with an old fencing number; `ignored`."),
    field("slots", whole(Unit::Count, 1, 65_536), Presence::Optional, "Calls the backend server runs at once; 16."),
    field("tokens_per_second", whole(Unit::Count, 1, 100_000_000), Presence::Optional, "Tokens the engine generates a second over all its calls; 4000."),
];

/// Fields of `weights`.
#[rustfmt::skip]
pub const WEIGHTS: &[Field] = &[
    field("policy", Kind::Choice(&["time-first", "bytes-first"]), Presence::Optional, "What the spread saves first: time to N replicas or bytes read from the origin; `time-first`."),
    field("staging_bytes", whole(Unit::Bytes, 1 << 20, 1 << 50), Presence::Optional, "Bytes of weights that may be staged in memory; 8 GiB."),
    field("link_bytes_per_second", whole(Unit::Bytes, 1_000, 1 << 50), Presence::Optional, "Capacity of the instance's link each way in bytes a second; 1250000000."),
    field("upload_copies", Kind::Float { min: 0.0, max: 16.0 }, Presence::Optional, "Copies of a version that an instance may upload to neighbours; 2."),
    field("home_region", Kind::Name, Presence::Optional, "Region nearest to the origin; in a bytes-first spread the other regions read from it, so that one copy leaves the origin. Unset: each region reads the origin."),
];

/// Fields of `calls`.
#[rustfmt::skip]
pub const CALLS: &[Field] = &[
    field("deadline_ms", whole(Unit::Millis, 1, DAY_MS), Presence::Optional, "Time a caller waits at most when it names no deadline; 60000."),
    field("drain_ms", whole(Unit::Millis, 0, DAY_MS), Presence::Optional, "Time a leaving process waits for its calls; 600000."),
    field("heartbeat_ms", whole(Unit::Millis, 10, 60_000), Presence::Optional, "Heartbeat interval inside open streams; 500."),
    field("body_bytes", whole(Unit::Bytes, 1_024, 1 << 30), Presence::Optional, "Largest request body; 4194304."),
];

/// Fields of an operator's settings.
#[rustfmt::skip]
pub const OPERATOR: &[Field] = &[
    field("key_value", Kind::Url, Presence::Required, "Key-value service."),
    field("instances", Kind::Url, Presence::Required, "Instance list."),
    field("secret_file", Kind::Path, Presence::Optional, "File with the deployment's secret; else `PISTACHIOLUG_SECRET` is read."),
];
