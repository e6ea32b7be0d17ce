//! Checks of single values.

use std::net::SocketAddr;

use jsonc_parser::ast::Value;

use crate::{
    fields::{Kind, Unit},
    suggestion,
};

/// Hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;

/// What is wrong with a value and how to mend it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Wrong {
    pub(crate) reason: String,
    pub(crate) mend: String,
}

/// Checks a value that is no object.
pub(crate) fn check(kind: Kind, value: &Value<'_>) -> Result<(), Wrong> {
    match (kind, value) {
        (Kind::Text | Kind::Path, Value::StringLit(text)) => not_empty(&text.value),
        (Kind::Name, Value::StringLit(text)) => name(&text.value),
        (Kind::Address, Value::StringLit(text)) => address(&text.value),
        (Kind::Url, Value::StringLit(text)) => url(&text.value),
        (Kind::Choice(choices), Value::StringLit(text)) => choice(choices, &text.value),
        (Kind::Boolean, Value::BooleanLit(_)) => Ok(()),
        (Kind::Digest, Value::StringLit(text)) => digest(&text.value),
        (Kind::Integer { unit, min, max }, Value::NumberLit(number)) => {
            whole(unit, min, max, number.value)
        }
        (Kind::Integer { unit, .. }, Value::StringLit(text)) => Err(with_unit(unit, &text.value)),
        (Kind::Float { min, max }, Value::NumberLit(number)) => real(min, max, number.value),
        (kind, value) => Err(wrong_type(kind, value)),
    }
}

/// Reports a value of another type.
pub(crate) fn wrong_type(kind: Kind, value: &Value<'_>) -> Wrong {
    let reason = format!("expects {}, has {}", expected(kind), found(value));
    wrong(reason, "")
}

fn expected(kind: Kind) -> String {
    match kind {
        Kind::Text | Kind::Name | Kind::Choice(_) => "a text".to_owned(),
        Kind::Path => "the path of a file".to_owned(),
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

fn found(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "an array",
        Value::NullKeyword(_) => "null",
    }
}

fn wrong(reason: impl Into<String>, mend: impl Into<String>) -> Wrong {
    Wrong {
        reason: reason.into(),
        mend: mend.into(),
    }
}

fn not_empty(text: &str) -> Result<(), Wrong> {
    if text.trim().is_empty() {
        return Err(wrong("is empty", "write a value"));
    }
    Ok(())
}

fn name(text: &str) -> Result<(), Wrong> {
    not_empty(text)?;
    let plain = |sign: char| sign.is_ascii_lowercase() || sign.is_ascii_digit() || sign == '-';
    if text.chars().all(plain) {
        return Ok(());
    }
    Err(wrong(
        format!("`{text}` is no name"),
        "use lower-case letters, digits and hyphens",
    ))
}

fn digest(text: &str) -> Result<(), Wrong> {
    if text.len() == DIGEST_DIGITS && text.chars().all(|sign| sign.is_ascii_hexdigit()) {
        return Ok(());
    }
    Err(wrong(
        format!("`{text}` is no digest"),
        format!("write {DIGEST_DIGITS} hexadecimal digits"),
    ))
}

fn address(text: &str) -> Result<(), Wrong> {
    let mend = "write an IP number and a port from 1 to 65535, such as \"10.0.0.1:7000\"";
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() > 0 => Ok(()),
        Ok(_) => Err(wrong(format!("`{text}` has port 0"), mend)),
        Err(_) => Err(wrong(format!("`{text}` is no address"), mend)),
    }
}

fn url(text: &str) -> Result<(), Wrong> {
    let mend = "write \"http://\", an IP number and a port, such as \"http://10.0.0.1:7000\"";
    let Some(rest) = text.strip_prefix("http://") else {
        let reason = format!("`{text}` does not begin with \"http://\"");
        return Err(wrong(reason, mend));
    };
    address(rest).map_err(|found| wrong(found.reason, mend))
}

fn choice(choices: &[&str], text: &str) -> Result<(), Wrong> {
    if choices.contains(&text) {
        return Ok(());
    }
    let mend = match suggestion::find_similar(text, choices.iter().copied()) {
        Some(near) => format!("did you mean `{near}`?"),
        None => format!("write one of {}", choices.join(", ")),
    };
    Err(wrong(format!("`{text}` is not known"), mend))
}

fn whole(unit: Unit, min: u64, max: u64, text: &str) -> Result<(), Wrong> {
    match text.parse::<u64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(()),
        Ok(_) => Err(out_of_range(text, min, max)),
        Err(_) => Err(wrong(
            format!("`{text}` is no {}", unit.as_str()),
            format!("write a whole number from {min} to {max}"),
        )),
    }
}

fn real(min: f64, max: f64, text: &str) -> Result<(), Wrong> {
    match text.parse::<f64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(()),
        _ => Err(out_of_range(text, min, max)),
    }
}

fn out_of_range<T: std::fmt::Display>(text: &str, min: T, max: T) -> Wrong {
    wrong(
        format!("{text} is out of range"),
        format!("write a number from {min} to {max}"),
    )
}

/// Reports a text such as `60s` where a bare number is wanted, with the number it stands for.
fn with_unit(unit: Unit, text: &str) -> Wrong {
    let split = text
        .find(|sign: char| !sign.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, suffix) = text.split_at(split);
    let number = digits.parse::<u64>().ok();
    let scaled = number
        .zip(factor(unit, suffix.trim()))
        .and_then(|(number, factor)| number.checked_mul(factor));
    let mend = match scaled {
        Some(number) => format!("write {number}"),
        None => "write a bare number".to_owned(),
    };
    wrong(
        format!("expects a {}, has the text `{text}`", unit.as_str()),
        mend,
    )
}

fn factor(unit: Unit, suffix: &str) -> Option<u64> {
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
