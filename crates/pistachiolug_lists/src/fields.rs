//! Field definitions of the two lists, used by validation and by the JSON schemas for editors.

use pistachiolug_settings::{
    fields::{Field, Kind, Presence, Unit},
    schema,
};

/// Limit of integers that a 64-bit float, and so every JSON parser, represents exactly.
const MAX_EXACT_INTEGER: u64 = 1 << 53;

/// Top-level fields of the customers list.
pub const CUSTOMERS_LIST: &[Field] = &[
    optional("$schema", Kind::Text, "Schema for editors."),
    required(
        "customers",
        Kind::Array(&Kind::Object(CUSTOMER)),
        "Customers, in any order.",
    ),
];

/// Top-level fields of the plans list.
pub const PLANS_LIST: &[Field] = &[
    optional("$schema", Kind::Text, "Schema for editors."),
    required(
        "plans",
        Kind::Array(&Kind::Object(PLAN)),
        "Plans, in any order.",
    ),
    required(
        "models",
        Kind::Array(&Kind::Object(MODEL)),
        "Models with their target versions, in any order.",
    ),
    required(
        "services",
        Kind::Array(&Kind::Object(SERVICE)),
        "Plain services, in any order.",
    ),
];

const CUSTOMER: &[Field] = &[
    required("name", Kind::Text, "Unique name."),
    required("plan", Kind::Text, "Name of the plan."),
    required(
        "keys",
        Kind::Array(&Kind::Digest),
        "BLAKE3 digests of the customer's bearer keys.",
    ),
    optional(
        "tokens_per_minute",
        number(MAX_EXACT_INTEGER),
        "Rate limit in tokens per minute; 0 means that the plan's limit applies.",
    ),
];

const PLAN: &[Field] = &[
    required("name", Kind::Text, "Unique name."),
    required(
        "share",
        number(1_000_000),
        "Share of each backend server reserved for this plan, relative to the other plans' shares.",
    ),
    optional(
        "priority",
        number(255),
        "Priority at the engine; calls with a larger value run earlier.",
    ),
    optional(
        "models",
        Kind::Array(&Kind::Text),
        "Names of the models that customers may call.",
    ),
    optional(
        "services",
        Kind::Array(&Kind::Text),
        "Names of the plain services that customers may call.",
    ),
    optional(
        "tokens_per_minute",
        number(MAX_EXACT_INTEGER),
        "Rate limit of each customer in tokens per minute; 0 means no limit.",
    ),
    optional(
        "trial",
        Kind::Boolean,
        "Whether this is a free trial, which only gets capacity that the other plans leave unused.",
    ),
];

const MODEL: &[Field] = &[
    required(
        "name",
        Kind::Text,
        "Name that callers use, unique among its kind.",
    ),
    required(
        "service",
        Kind::Text,
        "Service whose backend servers run the model.",
    ),
    required("version", Kind::Text, "Target version."),
    required(
        "manifest",
        Kind::Digest,
        "Digest of the version's manifest.",
    ),
    required(
        "replicas",
        Kind::Object(REPLICAS),
        "Bounds of the number of backend servers that run the model.",
    ),
    optional(
        "adapters",
        Kind::Array(&Kind::Object(ADAPTER)),
        "Adapters loaded together with the model.",
    ),
];

const REPLICAS: &[Field] = &[
    required(
        "least",
        number(100_000),
        "Minimum number of backend servers, kept at any load.",
    ),
    required(
        "most",
        number(100_000),
        "Maximum number of backend servers, used during bursts; not below `least`.",
    ),
];

const ADAPTER: &[Field] = &[
    required("name", Kind::Text, "Name that callers use."),
    required("version", Kind::Text, "Target version."),
    required(
        "manifest",
        Kind::Digest,
        "Digest of the version's manifest.",
    ),
];

const SERVICE: &[Field] = &[
    required(
        "name",
        Kind::Text,
        "Name that callers use, unique among its kind.",
    ),
    optional(
        "idempotent",
        Kind::Array(&Kind::Text),
        "Path prefixes under which every method is idempotent; elsewhere only GET and HEAD are.",
    ),
];

/// Renders the JSON schema of the customers list.
pub fn customers_schema() -> String {
    schema::render("Customers of a pistachiolug deployment", CUSTOMERS_LIST)
}

/// Renders the JSON schema of the plans list.
pub fn plans_schema() -> String {
    schema::render(
        "Plans, models and services of a pistachiolug deployment",
        PLANS_LIST,
    )
}

const fn required(name: &'static str, kind: Kind, description: &'static str) -> Field {
    Field {
        name,
        kind,
        presence: Presence::Required,
        description,
    }
}

const fn optional(name: &'static str, kind: Kind, description: &'static str) -> Field {
    Field {
        name,
        kind,
        presence: Presence::Optional,
        description,
    }
}

const fn number(max: u64) -> Kind {
    Kind::Integer {
        unit: Unit::Count,
        min: 0,
        max,
    }
}
