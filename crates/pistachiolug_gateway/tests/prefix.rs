//! Parts of a prompt that a request shares with others, read from its headers.

#![allow(clippy::unwrap_used)]

mod support;

use http::{HeaderMap, HeaderValue};
use pistachiolug_gateway::prefix::Prefix;

use support::names;

fn prefix(values: &[&str]) -> Prefix {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(names().prefix, HeaderValue::from_str(value).unwrap());
    }
    Prefix::from_headers(&headers, &names())
}

/// Guards against the request's own part counted as a shared one, and against malformed values that hide the others.
#[test]
fn the_shared_parts_of_a_prompt_are_all_but_the_last() {
    let rows: [(&[&str], &[&str]); 7] = [
        (
            &["5c1e07a2:800,91bd3f06:410,e4402b7d:250"],
            &["5c1e07a2", "91bd3f06"],
        ),
        (&[" 5C1E : 8 , 91bd:4 ,e440:2"], &["5c1e", "91bd"]),
        (&["5c1e:8", "91bd:4,e440:2"], &["5c1e", "91bd"]),
        (&["5c1e,,:4,91bd:x"], &["5c1e"]),
        (&["5c1e:8"], &[]),
        (&["", ","], &[]),
        (&[], &[]),
    ];
    for (values, expected) in rows {
        let prefix = prefix(values);

        assert_eq!(prefix.ids().collect::<Vec<_>>(), expected, "{values:?}");
    }
}

/// Guards against memory and log lines that grow with what a caller sends.
#[test]
fn the_kept_parts_and_their_log_field_are_bounded() {
    let long = "f".repeat(1000);
    let entries: Vec<String> = (0..500)
        .map(|number| format!("{number:x}{long}:1"))
        .collect();

    let prefix = prefix(&[&entries.join(",")]);

    assert_eq!(prefix.ids().count(), 32);
    assert!(prefix.to_string().len() <= 160, "{prefix}");
    assert!(prefix.to_string().ends_with(",+24"), "{prefix}");
}
