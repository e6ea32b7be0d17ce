//! Files that must agree with the settings' types: samples, schemas and the table of fields.

use std::{collections::BTreeSet, fs, net::TcpListener, path::PathBuf};

use pistachiolug_settings::{
    daemon::{Daemon, Role},
    fields::{DAEMON, Field, Kind},
    load, ports, schema,
};
use serde_json::Value;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

#[test]
fn samples_hold() {
    for deployment in ["karoo", "authority"] {
        let folder = root().join("examples").join(deployment).join("settings");
        let mut roles = BTreeSet::new();
        for file in fs::read_dir(&folder).expect("samples are there") {
            let path = file.expect("folder can be read").path();
            let name = path.file_name().unwrap().to_string_lossy().into_owned();
            let text = fs::read_to_string(&path).expect("sample can be read");
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
        assert_eq!(roles.len(), 2, "{deployment} has samples of both roles");
    }
}

/// Run with `UPDATE_SCHEMAS=1` to write the files anew.
#[test]
fn schemas_are_current() {
    for (name, text) in [
        ("daemon", schema::daemon()),
        ("operator", schema::operator()),
    ] {
        let path = format!("schemas/settings.{name}.json");
        if std::env::var_os("UPDATE_SCHEMAS").is_some() {
            fs::write(root().join(&path), &text).expect("schema can be written");
        }
        assert_eq!(read(&path), text, "{path}");
    }
}

#[test]
fn fields_are_those_of_the_types() {
    let text = read("examples/karoo/settings/agent-assistant.jsonc");
    let settings: Daemon = load::daemon("agent", &text, Some(Role::Agent)).expect("sample holds");

    let value = serde_json::to_value(&settings).expect("settings are serializable");

    compare(DAEMON, &value, "");
}

fn compare(fields: &[Field], value: &Value, path: &str) {
    let object = value.as_object().expect("settings are objects");
    let known: BTreeSet<&str> = fields.iter().map(|field| field.name).collect();
    let typed: BTreeSet<&str> = object.keys().map(String::as_str).collect();
    assert_eq!(known, typed, "fields.rs and daemon.rs differ at `{path}`");
    for field in fields {
        if let (Kind::Object(fields), Some(value)) = (field.kind, object.get(field.name)) {
            compare(fields, value, field.name);
        }
    }
}

#[test]
fn operators_page_lists_every_field() {
    let page = read("docs/OPERATIONS.md");
    let mut missing = Vec::new();
    list(DAEMON, "", &page, &mut missing);
    assert_eq!(
        missing,
        Vec::<String>::new(),
        "docs/OPERATIONS.md lacks these rows"
    );
}

fn list(fields: &[Field], path: &str, page: &str, missing: &mut Vec<String>) {
    for field in fields {
        let name = format!("{path}{}", field.name);
        if let Kind::Object(fields) = field.kind {
            list(fields, &format!("{name}."), page, missing);
            continue;
        }
        let row = format!("| `{name}` | {} |", schema::describe(field));
        if !page.contains(&row) {
            missing.push(row);
        }
    }
}

#[test]
fn ports_in_use_are_found() {
    let holder = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let held = holder.local_addr().expect("a bound port has an address");
    let text = read("examples/karoo/settings/entry.jsonc");
    let mut settings = load::daemon("entry", &text, Some(Role::Entry)).expect("sample holds");
    settings.internal = held;
    settings.callers = Some("192.0.2.1:8080".parse().unwrap());

    let found = ports::check("entry", &settings);

    assert_eq!(found.len(), 2, "{found:?}");
    assert_eq!(found[0].reason, format!("{held} is in use"));
    assert!(
        found[1]
            .reason
            .contains("is not an address of this machine")
    );
}
