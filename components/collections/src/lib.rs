//! Shared collections: hash maps with a fast hasher, and an arena with `Copy` keys.
//!
//! The fast hasher does not resist hash flooding. Maps with keys chosen by clients must use
//! `std::collections` instead.

pub mod arena;

/// Hash map with a fast hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// Fast hasher; its results are the same in all processes.
pub type Hasher = rustc_hash::FxHasher;
/// Hash set with a fast hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
