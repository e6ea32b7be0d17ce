//! Suggestions for misspelt names.

/// Similarity above which a known name is suggested, from 0 to 1.
const SIMILAR: f64 = 0.75;

/// Finds the known name that resembles `name` most.
pub fn find_similar<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known
        .into_iter()
        .map(|known| (strsim::jaro_winkler(name, known), known));
    let best = scored.max_by(|left, right| left.0.total_cmp(&right.0));
    best.filter(|(score, _)| *score > SIMILAR)
        .map(|(_, known)| known)
}
