//! Deterministic answers: the text of a token depends only on the weights, the prompt and the token's index.

use pistachiolug_wire::digest::Digest;

/// Number of tokens of an answer if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Returns the text of the token at `index`: six hexadecimal digits of a hash and a space.
pub fn token_text(weights: &Digest, prompt: &Digest, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(weights.as_bytes());
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_le_bytes());
    let hash = hasher.finalize().to_hex();
    format!("{} ", &hash[..6])
}

/// Returns the complete answer to a request body, which is also the prompt.
pub fn full_text(weights: &Digest, body: &[u8]) -> String {
    let prompt = Digest::of(body);
    (0..token_count(body))
        .map(|index| token_text(weights, &prompt, index))
        .collect()
}

/// Returns how many tokens the answer to a request body has: its `max_tokens`, or a default.
pub fn token_count(body: &[u8]) -> u32 {
    let request: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    request["max_tokens"]
        .as_u64()
        .map_or(DEFAULT_MAX_TOKENS, |tokens| tokens as u32)
}
