//! Checks of single values against the kinds of their fields.

use std::net::SocketAddr;

use jsonc_parser::ast::Value;

use crate::{
    fields::{Kind, Unit},
    suggestion,
};

/// Number of hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;

/// Fault of a value with a suggested fix.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    pub(crate) reason: String,
    pub(crate) fix: String,
}

/// Checks a value that is neither an object nor an array.
pub(crate) fn check(kind: Kind, value: &Value<'_>) -> Result<(), Problem> {
    match (kind, value) {
        (Kind::Text | Kind::Path, Value::StringLit(text)) => check_not_empty(&text.value),
        (Kind::Name, Value::StringLit(text)) => check_name(&text.value),
        (Kind::Address, Value::StringLit(text)) => check_address(&text.value),
        (Kind::Url, Value::StringLit(text)) => check_url(&text.value),
        (Kind::Choice(choices), Value::StringLit(text)) => check_choice(choices, &text.value),
        (Kind::Boolean, Value::BooleanLit(_)) => Ok(()),
        (Kind::Digest, Value::StringLit(text)) => check_digest(&text.value),
        (Kind::Integer { unit, min, max }, Value::NumberLit(number)) => {
            check_integer(unit, min, max, number.value)
        }
        (Kind::Integer { unit, .. }, Value::StringLit(text)) => Err(with_unit(unit, &text.value)),
        (Kind::Float { min, max }, Value::NumberLit(number)) => check_float(min, max, number.value),
        (kind, value) => Err(wrong_type(kind, value)),
    }
}

/// Returns the problem of a value whose type is not that of its field.
pub(crate) fn wrong_type(kind: Kind, value: &Value<'_>) -> Problem {
    let reason = format!(
        "expects {}, has {}",
        expected_type(kind),
        actual_type(value)
    );
    problem(reason, "")
}

fn expected_type(kind: Kind) -> String {
    match kind {
        Kind::Text | Kind::Name | Kind::Choice(_) => "a string".to_owned(),
        Kind::Path => "a file path".to_owned(),
        Kind::Address => "an address such as \"10.0.0.1:7000\"".to_owned(),
        Kind::Url => "an address such as \"http://10.0.0.1:7000\"".to_owned(),
        Kind::Integer { unit, .. } => format!("a {}", unit.as_str()),
        Kind::Float { .. } => "a number".to_owned(),
        Kind::Boolean => "true or false".to_owned(),
        Kind::Digest => "a digest".to_owned(),
        Kind::Object(_) => "an object".to_owned(),
        Kind::Array(_) => "an array".to_owned(),
    }
}

fn actual_type(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "an array",
        Value::NullKeyword(_) => "null",
    }
}

fn problem(reason: impl Into<String>, fix: impl Into<String>) -> Problem {
    Problem {
        reason: reason.into(),
        fix: fix.into(),
    }
}

fn check_not_empty(text: &str) -> Result<(), Problem> {
    if text.trim().is_empty() {
        return Err(problem("is empty", "write a value"));
    }
    Ok(())
}

fn check_name(text: &str) -> Result<(), Problem> {
    check_not_empty(text)?;
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.chars().all(is_allowed) {
        return Ok(());
    }
    Err(problem(
        format!("`{text}` is not a valid name"),
        "use lower-case letters, digits and hyphens",
    ))
}

fn check_digest(text: &str) -> Result<(), Problem> {
    if text.len() == DIGEST_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit()) {
        return Ok(());
    }
    Err(problem(
        format!("`{text}` is not a digest"),
        format!("write {DIGEST_DIGITS} hexadecimal digits"),
    ))
}

fn check_address(text: &str) -> Result<(), Problem> {
    let fix = "write an IP address and a port from 1 to 65535, such as \"10.0.0.1:7000\"";
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() > 0 => Ok(()),
        Ok(_) => Err(problem(format!("`{text}` has port 0"), fix)),
        Err(_) => Err(problem(format!("`{text}` is not a valid address"), fix)),
    }
}

fn check_url(text: &str) -> Result<(), Problem> {
    let fix = "write \"http://\", an IP address and a port, such as \"http://10.0.0.1:7000\"";
    let Some(rest) = text.strip_prefix("http://") else {
        let reason = format!("`{text}` does not begin with \"http://\"");
        return Err(problem(reason, fix));
    };
    check_address(rest).map_err(|found| problem(found.reason, fix))
}

fn check_choice(choices: &[&str], text: &str) -> Result<(), Problem> {
    if choices.contains(&text) {
        return Ok(());
    }
    let fix = match suggestion::find_similar(text, choices.iter().copied()) {
        Some(similar) => format!("did you mean `{similar}`?"),
        None => format!("write one of {}", choices.join(", ")),
    };
    Err(problem(format!("`{text}` is not an allowed value"), fix))
}

fn check_integer(unit: Unit, min: u64, max: u64, text: &str) -> Result<(), Problem> {
    match text.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(()),
        Ok(_) => Err(out_of_range(text, min, max)),
        Err(_) => Err(problem(
            format!("`{text}` is not a {}", unit.as_str()),
            format!("write a whole number from {min} to {max}"),
        )),
    }
}

fn check_float(min: f64, max: f64, text: &str) -> Result<(), Problem> {
    match text.parse::<f64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(()),
        _ => Err(out_of_range(text, min, max)),
    }
}

fn out_of_range<T: std::fmt::Display>(text: &str, min: T, max: T) -> Problem {
    problem(
        format!("{text} is out of range"),
        format!("write a number from {min} to {max}"),
    )
}

/// Returns the problem of a string such as `60s` in place of a number, and suggests the number in the field's unit.
fn with_unit(unit: Unit, text: &str) -> Problem {
    let split = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, suffix) = text.split_at(split);
    let number = digits.parse::<u64>().ok();
    let scaled = number
        .zip(unit_factor(unit, suffix.trim()))
        .and_then(|(number, factor)| number.checked_mul(factor));
    let fix = match scaled {
        Some(number) => format!("write {number}"),
        None => "write a number without a unit".to_owned(),
    };
    problem(
        format!("expects a {}, has the string `{text}`", unit.as_str()),
        fix,
    )
}

/// Returns the number of the field's units in the unit of a suffix; `None` if the suffix is unknown.
fn unit_factor(unit: Unit, suffix: &str) -> Option<u64> {
    match (unit, suffix) {
        (_, "") | (Unit::Millis, "ms") | (Unit::Bytes, "B") => Some(1),
        (Unit::Millis, "s") | (Unit::Bytes, "kB" | "KB") => Some(1_000),
        (Unit::Millis, "m" | "min") => Some(60_000),
        (Unit::Millis, "h") => Some(3_600_000),
        (Unit::Bytes, "MB") => Some(1_000_000),
        (Unit::Bytes, "GB") => Some(1_000_000_000),
        (Unit::Bytes, "KiB" | "K") => Some(1 << 10),
        (Unit::Bytes, "MiB" | "M") => Some(1 << 20),
        (Unit::Bytes, "GiB" | "G") => Some(1 << 30),
        _ => None,
    }
}
