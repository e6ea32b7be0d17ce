//! Set of piece indices with one bit per index.

use serde::{Deserialize, Serialize};

/// Number of bits in one word.
const WORD_BITS: usize = 64;

/// Set of indices below a fixed length.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bitmap {
    length: u32,
    /// Bits at and above `length` are always 0.
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

    /// Creates a set from the words of another one; bits at and above `length` are dropped, missing words count as 0.
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

    /// Returns the exclusive upper bound of the indices, not the number of elements.
    pub fn length(&self) -> usize {
        self.length as usize
    }

    /// Returns the words, lowest indices first.
    pub fn words(&self) -> &[u64] {
        &self.words
    }

    /// Returns whether the set contains `index`; an index out of bounds is never contained.
    pub fn contains(&self, index: u32) -> bool {
        let word = self.words.get(index as usize / WORD_BITS);
        word.is_some_and(|word| word >> (index as usize % WORD_BITS) & 1 == 1)
    }

    /// Adds `index` and returns whether it was new; an index out of bounds is ignored.
    pub fn insert(&mut self, index: u32) -> bool {
        if index >= self.length || self.contains(index) {
            return false;
        }
        self.words[index as usize / WORD_BITS] |= 1 << (index as usize % WORD_BITS);
        true
    }

    /// Removes `index` if it is contained.
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

    /// Iterates over the contained indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.length).filter(|index| self.contains(*index))
    }

    /// Returns the allocated size of the words in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.words.capacity() * size_of::<u64>()
    }

    /// Returns whether a received set is well-formed and has exactly `length` as its bound.
    pub fn has_valid_shape(&self, length: usize) -> bool {
        let spare = self.words.len() * WORD_BITS - self.length().min(self.words.len() * WORD_BITS);
        let last = self.words.last().copied().unwrap_or(0);
        self.length() == length
            && self.words.len() == length.div_ceil(WORD_BITS)
            && (spare == 0 || last >> (WORD_BITS - spare) == 0)
    }
}
