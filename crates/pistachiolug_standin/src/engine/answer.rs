//! Deterministic answers: each token's text follows from the weights, the prompt and its index.

use pistachiolug_wire::digest::Digest;

/// Number of tokens of an answer whose request names none.
const DEFAULT_TOKENS: u32 = 16;

/// Returns the text of one token.
pub fn token_text(weights: &Digest, prompt: &Digest, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(weights.as_bytes());
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_le_bytes());
    let hash = hasher.finalize().to_hex();
    format!("{} ", &hash[..6])
}

/// Returns the whole answer to a request body.
pub fn full_text(weights: &Digest, body: &[u8]) -> String {
    let prompt = Digest::of(body);
    (0..token_count(body))
        .map(|index| token_text(weights, &prompt, index))
        .collect()
}

/// Returns the number of tokens of the answer to a request body.
pub fn token_count(body: &[u8]) -> u32 {
    let request: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    request["max_tokens"]
        .as_u64()
        .map_or(DEFAULT_TOKENS, |tokens| tokens as u32)
}
