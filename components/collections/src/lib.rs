//! Collections shared by the other crates: hash maps with a fast hasher, and an arena with `Copy`
//! keys.
//!
//! The fast hasher does not resist chosen keys. Maps keyed by strings that outsiders choose
//! freely use `std::collections` instead.

pub mod arena;

/// Hash map with a fast hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// The fast hasher; its results are the same in all processes.
pub type Hasher = rustc_hash::FxHasher;
/// Hash set with a fast hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
