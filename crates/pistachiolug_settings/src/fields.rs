//! Field definitions of the settings files, used by the check, by the JSON schemas for editors and by the table in
//! docs/OPERATIONS.md.

/// Definition of a field of an object.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Kind of its value.
    pub kind: Kind,
    /// Whether it may or must be set.
    pub presence: Presence,
    /// Description in the schema and the operators' documentation.
    pub description: &'static str,
}

/// Kind of a field's value.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// String that is not empty.
    Text,
    /// Name of lower-case letters, digits and hyphens.
    Name,
    /// IP address and port, such as `10.0.0.1:7000`.
    Address,
    /// HTTP address with an IP address and a port, such as `http://10.0.0.1:7000`.
    Url,
    /// Path of a file.
    Path,
    /// Whole number in a range.
    Integer {
        /// Unit of the number.
        unit: Unit,
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
    },
    /// Number in a range, which may have a fraction.
    Float {
        /// Minimum, inclusive.
        min: f64,
        /// Maximum, inclusive.
        max: f64,
    },
    /// One of a fixed set of strings.
    Choice(&'static [&'static str]),
    /// `true` or `false`.
    Boolean,
    /// Content digest: 64 hexadecimal digits.
    Digest,
    /// Object with these fields.
    Object(&'static [Field]),
    /// Array with elements of one kind.
    Array(&'static Kind),
}

/// Unit of a whole number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Count, without a unit.
    Count,
    /// Milliseconds.
    Millis,
    /// Bytes.
    Bytes,
}

impl Unit {
    /// Returns the phrase for a number in this unit, for messages and descriptions.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Count => "whole number",
            Self::Millis => "whole number of milliseconds",
            Self::Bytes => "whole number of bytes",
        }
    }
}

/// Whether a field may or must be set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Must be set.
    Required,
    /// May be left out; then a default applies, or the feature is off.
    Optional,
    /// Required for entries, not allowed for agents.
    Entry,
    /// Required for agents, not allowed for entries.
    Agent,
}

/// Maximum of a time in the settings, in milliseconds: one day.
const MAX_TIME_MS: u64 = 86_400_000;

/// Creates the definition of a field.
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

/// Creates the kind of a whole number from `min` to `max`.
const fn integer(unit: Unit, min: u64, max: u64) -> Kind {
    Kind::Integer { unit, min, max }
}

/// Fields of a daemon's settings.
#[rustfmt::skip]
pub const DAEMON: &[Field] = &[
    field("instance", Kind::Name, Presence::Required, "Unique name of the instance; an instance that replaces another needs a new name."),
    field("region", Kind::Name, Presence::Required, "Region of the instance."),
    field("zone", Kind::Name, Presence::Required, "Availability zone of the instance."),
    field("internal", Kind::Address, Presence::Required, "Address that other processes of the system connect to."),
    field("callers", Kind::Address, Presence::Entry, "Address that callers connect to; entries only."),
    field("secret_file", Kind::Path, Presence::Optional, "File with the deployment's secret; if unset, `PISTACHIOLUG_SECRET` is read."),
    field("platform", Kind::Object(PLATFORM), Presence::Required, "Addresses of the platform's services."),
    field("backend", Kind::Object(BACKEND), Presence::Agent, "Backend server beside the agent; agents only."),
    field("weights", Kind::Object(WEIGHTS), Presence::Optional, "Distribution of weights; agents only."),
    field("calls", Kind::Object(CALLS), Presence::Optional, "Deadlines, intervals and limits of calls."),
    field("log_level", Kind::Choice(&["error", "warn", "info", "debug", "trace"]), Presence::Optional, "Least severe level that is logged; default `info`."),
];

/// Fields of `platform`.
#[rustfmt::skip]
pub const PLATFORM: &[Field] = &[
    field("key_value", Kind::Url, Presence::Required, "Address of the key-value service."),
    field("instances", Kind::Url, Presence::Required, "Address of the service with the instance list."),
    field("origin", Kind::Url, Presence::Required, "Address of the origin of the weights."),
    field("store", Kind::Url, Presence::Optional, "Address of the rate-limited weight store."),
];

/// Fields of `backend`.
#[rustfmt::skip]
pub const BACKEND: &[Field] = &[
    field("service", Kind::Name, Presence::Required, "Service that the backend server belongs to."),
    field("kind", Kind::Choice(&["model", "plain"]), Presence::Required, "`model` for a model engine, `plain` for a plain service."),
    field("address", Kind::Url, Presence::Required, "Address of the backend server."),
    field("fencing", Kind::Choice(&["checked", "ignored"]), Presence::Optional, "Whether the engine rejects orders with an old fencing token (`checked`) or accepts them (`ignored`); default `ignored`."),
    field("slots", integer(Unit::Count, 1, 65_536), Presence::Optional, "Maximum number of calls that the backend server runs at once; default 16."),
    field("tokens_per_second", integer(Unit::Count, 1, 100_000_000), Presence::Optional, "Tokens per second that the engine generates over all its calls; default 4000."),
];

/// Fields of `weights`.
#[rustfmt::skip]
pub const WEIGHTS: &[Field] = &[
    field("policy", Kind::Choice(&["time-first", "bytes-first"]), Presence::Optional, "What a distribution of weights minimizes first: the time until N replicas run or the bytes read from the origin; default `time-first`."),
    field("staging_bytes", integer(Unit::Bytes, 1 << 20, 1 << 50), Presence::Optional, "Maximum size of weights staged in memory; default 8 GiB."),
    field("link_bytes_per_second", integer(Unit::Bytes, 1_000, 1 << 50), Presence::Optional, "Capacity of the instance's network link in each direction, in bytes per second; default 1250000000."),
    field("upload_copies", Kind::Float { min: 0.0, max: 16.0 }, Presence::Optional, "Maximum number of copies of a version that an instance uploads to neighbours; default 2."),
    field("home_region", Kind::Name, Presence::Optional, "Region nearest to the origin; in a bytes-first distribution the other regions read from it, so that one copy leaves the origin. If unset, each region reads from the origin."),
];

/// Fields of `calls`.
#[rustfmt::skip]
pub const CALLS: &[Field] = &[
    field("deadline_ms", integer(Unit::Millis, 1, MAX_TIME_MS), Presence::Optional, "Maximum waiting time of a caller that sets no deadline; default 60000."),
    field("drain_ms", integer(Unit::Millis, 0, MAX_TIME_MS), Presence::Optional, "Maximum time that a leaving process waits for its calls; default 600000."),
    field("heartbeat_ms", integer(Unit::Millis, 10, 60_000), Presence::Optional, "Heartbeat interval in open streams; default 500."),
    field("body_bytes", integer(Unit::Bytes, 1_024, 1 << 30), Presence::Optional, "Maximum size of a request body; default 4194304."),
];

/// Fields of the settings of the operators' commands.
#[rustfmt::skip]
pub const OPERATOR: &[Field] = &[
    field("key_value", Kind::Url, Presence::Required, "Address of the key-value service."),
    field("instances", Kind::Url, Presence::Required, "Address of the service with the instance list."),
    field("secret_file", Kind::Path, Presence::Optional, "File with the deployment's secret; if unset, `PISTACHIOLUG_SECRET` is read."),
];
