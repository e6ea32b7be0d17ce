//! Timestamps contained in callers' idempotency keys: UUID version 7 (RFC 9562) and ULID.

/// Digits of a ULID in order of their values (Crockford's base 32).
const ULID_ALPHABET: &[u8; 32] = b"0123456789ABCDEFGHJKMNPQRSTVWXYZ";

/// Number of digits of a ULID.
const ULID_LENGTH: usize = 26;

/// Number of leading digits of a ULID that hold the timestamp.
const ULID_TIME_DIGITS: usize = 10;

/// Number of hexadecimal digits of a UUID.
const UUID_LENGTH: usize = 32;

/// Returns the timestamp that a key contains, in milliseconds since 1970.
///
/// `None` if the key is neither a UUID version 7 nor a ULID.
pub fn parse(key: &str) -> Option<u64> {
    parse_uuid(key).or_else(|| parse_ulid(key))
}

fn parse_uuid(key: &str) -> Option<u64> {
    let digits: String = key.chars().filter(|digit| *digit != '-').collect();
    if digits.len() != UUID_LENGTH || !digits.is_ascii() || digits.as_bytes()[12] != b'7' {
        return None;
    }
    u128::from_str_radix(&digits, 16).ok()?;
    u64::from_str_radix(&digits[..12], 16).ok()
}

fn parse_ulid(key: &str) -> Option<u64> {
    if key.len() != ULID_LENGTH {
        return None;
    }
    let value = |digit: &u8| {
        let digit = digit.to_ascii_uppercase();
        ULID_ALPHABET.iter().position(|known| *known == digit)
    };
    let values: Vec<usize> = key.as_bytes().iter().map(value).collect::<Option<_>>()?;
    let time = values[..ULID_TIME_DIGITS]
        .iter()
        .fold(0, |time, value| (time << 5) | *value as u64);
    Some(time)
}
