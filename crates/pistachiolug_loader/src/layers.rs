//! Pieces that a model's layers are loaded from.

use std::ops::Range;

/// Returns the pieces of the first layer.
///
/// # Arguments
/// `layers` is at least 1.
pub fn pieces_of_first(pieces: usize, layers: usize) -> Range<usize> {
    0..pieces.div_ceil(layers)
}

/// Returns the pieces of all layers but the first. A piece may belong to the first layer as well.
///
/// # Arguments
/// `layers` is at least 1.
pub fn pieces_of_others(pieces: usize, layers: usize) -> Range<usize> {
    pieces / layers..pieces
}
