//! Suggestions for misspelt names.

/// Jaro-Winkler similarity above which a known name is suggested, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.75;

/// Returns the known name that is most similar to `name`; `None` if none is similar enough to suggest.
pub fn find_similar<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known
        .into_iter()
        .map(|known| (strsim::jaro_winkler(name, known), known));
    let best = scored.max_by(|left, right| left.0.total_cmp(&right.0));
    best.filter(|(score, _)| *score > MIN_SIMILARITY)
        .map(|(_, known)| known)
}
