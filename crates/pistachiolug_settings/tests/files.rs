//! Files that must match the settings' types: sample settings, schemas, field definitions and documentation.

use std::{collections::BTreeSet, fs, net::TcpListener, path::PathBuf};

use pistachiolug_settings::{
    daemon::{Daemon, Role},
    fields::{DAEMON, Field, Kind},
    load, ports, schema,
};
use serde_json::Value;

/// Returns the root folder of the repository.
fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Reads a file by its path from the root folder.
fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// A renamed or new required field must not leave the sample settings invalid.
#[test]
fn sample_settings_are_valid() {
    for deployment in ["karoo", "authority"] {
        let folder = root().join("examples").join(deployment).join("settings");
        let mut roles = BTreeSet::new();
        for file in fs::read_dir(&folder).expect("sample folder is readable") {
            let path = file.expect("sample folder is readable").path();
            let name = path.file_name().unwrap().to_string_lossy().into_owned();
            let text = fs::read_to_string(&path).expect("sample is readable");
            let document = format!("{deployment}/{name}");
            if name == "operator.jsonc" {
                load::operator(&document, &text).unwrap_or_else(|found| panic!("{found:?}"));
                continue;
            }
            let role = if name.starts_with("entry") {
                Role::Entry
            } else {
                Role::Agent
            };
            load::daemon(&document, &text, Some(role)).unwrap_or_else(|found| panic!("{found:?}"));
            roles.insert(role == Role::Entry);
        }
        assert_eq!(roles.len(), 2, "{deployment} has no samples of both roles");
    }
}

/// The schema files must match the field definitions, or editors would check against old rules. With `UPDATE_SCHEMAS=1`
/// the test writes the files anew.
#[test]
fn schemas_are_current() {
    for (name, text) in [
        ("daemon", schema::daemon()),
        ("operator", schema::operator()),
    ] {
        let path = format!("schemas/settings.{name}.json");
        if std::env::var_os("UPDATE_SCHEMAS").is_some() {
            fs::write(root().join(&path), &text).expect("schema is writable");
        }
        assert_eq!(read(&path), text, "{path}");
    }
}

/// A field that is only in the type would be reported as unknown, and one only in the definitions would fail to load.
#[test]
fn field_definitions_match_the_types() {
    let text = read("examples/karoo/settings/agent-assistant.jsonc");
    let settings: Daemon =
        load::daemon("agent", &text, Some(Role::Agent)).expect("sample is valid");

    let value = serde_json::to_value(&settings).expect("settings are serializable");

    assert_same_fields(DAEMON, &value, "");
}

/// Asserts that an object of serialized settings has exactly the defined fields; `path` is the field that holds it.
fn assert_same_fields(fields: &[Field], value: &Value, path: &str) {
    let object = value.as_object().expect("settings are objects");
    let defined: BTreeSet<&str> = fields.iter().map(|field| field.name).collect();
    let serialized: BTreeSet<&str> = object.keys().map(String::as_str).collect();
    assert_eq!(
        defined, serialized,
        "fields.rs and daemon.rs differ at `{path}`"
    );
    for field in fields {
        if let (Kind::Object(fields), Some(value)) = (field.kind, object.get(field.name)) {
            assert_same_fields(fields, value, field.name);
        }
    }
}

/// The documentation must have a row for each field with its current description.
#[test]
fn the_operations_page_describes_every_field() {
    let page = read("docs/OPERATIONS.md");
    let mut missing = Vec::new();
    collect_missing(DAEMON, "", &page, &mut missing);
    assert_eq!(
        missing,
        Vec::<String>::new(),
        "docs/OPERATIONS.md lacks these rows"
    );
}

/// Collects the rows of the fields that the page lacks.
fn collect_missing(fields: &[Field], path: &str, page: &str, missing: &mut Vec<String>) {
    for field in fields {
        let name = format!("{path}{}", field.name);
        if let Kind::Object(fields) = field.kind {
            collect_missing(fields, &format!("{name}."), page, missing);
            continue;
        }
        let row = format!("| `{name}` | {} |", schema::describe(field));
        if !page.contains(&row) {
            missing.push(row);
        }
    }
}

/// A port that another process uses, and an address of another machine, must be reported before the daemon starts.
#[test]
fn unavailable_addresses_are_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let used_address = listener.local_addr().expect("listener has an address");
    let text = read("examples/karoo/settings/entry.jsonc");
    let mut settings = load::daemon("entry", &text, Some(Role::Entry)).expect("sample is valid");
    settings.internal = used_address;
    settings.callers = Some("192.0.2.1:8080".parse().unwrap());

    let found = ports::check("entry", &settings);

    assert_eq!(found.len(), 2, "{found:?}");
    assert_eq!(found[0].reason, format!("{used_address} is in use"));
    assert!(
        found[1]
            .reason
            .contains("is not an address of this machine")
    );
}
