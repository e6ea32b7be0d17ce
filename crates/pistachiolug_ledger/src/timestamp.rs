//! Creation times that callers' idempotency keys carry: UUID version 7 (RFC 9562) and ULID.

/// Characters of a ULID, in order of their value (Crockford's base 32).
const ULID_DIGITS: &[u8; 32] = b"0123456789ABCDEFGHJKMNPQRSTVWXYZ";

/// Characters of a ULID.
const ULID_LENGTH: usize = 26;

/// Characters of a ULID that hold the time.
const ULID_TIME: usize = 10;

/// Hexadecimal digits of a UUID.
const UUID_DIGITS: usize = 32;

/// Reads the creation time in milliseconds since 1970 that a key carries, if it carries one.
pub fn parse(key: &str) -> Option<u64> {
    uuid(key).or_else(|| ulid(key))
}

fn uuid(key: &str) -> Option<u64> {
    let digits: String = key.chars().filter(|digit| *digit != '-').collect();
    if digits.len() != UUID_DIGITS || !digits.is_ascii() || digits.as_bytes()[12] != b'7' {
        return None;
    }
    u128::from_str_radix(&digits, 16).ok()?;
    u64::from_str_radix(&digits[..12], 16).ok()
}

fn ulid(key: &str) -> Option<u64> {
    if key.len() != ULID_LENGTH {
        return None;
    }
    let value = |digit: &u8| {
        let digit = digit.to_ascii_uppercase();
        ULID_DIGITS.iter().position(|known| *known == digit)
    };
    let values: Vec<usize> = key.as_bytes().iter().map(value).collect::<Option<_>>()?;
    let time = values[..ULID_TIME]
        .iter()
        .fold(0, |time, value| (time << 5) | *value as u64);
    Some(time)
}
