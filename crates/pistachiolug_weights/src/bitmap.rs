//! Set of chunk indices, one bit each.

use serde::{Deserialize, Serialize};

/// Bits of one word.
const WORD_BITS: usize = 64;

/// Set of indices below a fixed length.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bitmap {
    length: u32,
    /// Bits at and above `length` are 0.
    words: Vec<u64>,
}

impl Bitmap {
    /// Creates an empty set of indices below `length`.
    pub fn new(length: usize) -> Self {
        Self {
            length: length as u32,
            words: vec![0; length.div_ceil(WORD_BITS)],
        }
    }

    /// Creates a set from the words of another one; bits at and above `length` are dropped.
    pub fn from_words(length: usize, words: &[u64]) -> Self {
        let mut set = Self::new(length);
        for index in 0..length as u32 {
            let word = words.get(index as usize / WORD_BITS);
            if word.is_some_and(|word| word >> (index as usize % WORD_BITS) & 1 == 1) {
                set.insert(index);
            }
        }
        set
    }

    /// Returns the bound of the indices.
    pub fn length(&self) -> usize {
        self.length as usize
    }

    /// Returns the words, lowest indices first.
    pub fn words(&self) -> &[u64] {
        &self.words
    }

    /// Tells whether the set has `index`; indices out of bounds are never in it.
    pub fn contains(&self, index: u32) -> bool {
        let word = self.words.get(index as usize / WORD_BITS);
        word.is_some_and(|word| word >> (index as usize % WORD_BITS) & 1 == 1)
    }

    /// Adds `index` and tells whether it is new; an index out of bounds is ignored.
    pub fn insert(&mut self, index: u32) -> bool {
        if index >= self.length || self.contains(index) {
            return false;
        }
        self.words[index as usize / WORD_BITS] |= 1 << (index as usize % WORD_BITS);
        true
    }

    /// Removes `index`.
    pub fn remove(&mut self, index: u32) {
        if let Some(word) = self.words.get_mut(index as usize / WORD_BITS) {
            *word &= !(1 << (index as usize % WORD_BITS));
        }
    }

    /// Returns the number of indices in the set.
    pub fn count(&self) -> usize {
        self.words
            .iter()
            .map(|word| word.count_ones() as usize)
            .sum()
    }

    /// Iterates over the indices in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.length).filter(|index| self.contains(*index))
    }

    /// Returns the bytes of its words.
    pub fn memory_bytes(&self) -> usize {
        self.words.capacity() * size_of::<u64>()
    }

    /// Tells whether a received set has the shape of one over `length` indices.
    pub fn has_valid_shape(&self, length: usize) -> bool {
        let spare = self.words.len() * WORD_BITS - self.length().min(self.words.len() * WORD_BITS);
        let last = self.words.last().copied().unwrap_or(0);
        self.length() == length
            && self.words.len() == length.div_ceil(WORD_BITS)
            && (spare == 0 || last >> (WORD_BITS - spare) == 0)
    }
}
