//! Arena with generational `Copy` keys.

use std::{fmt, hash, marker::PhantomData};

/// Generational key of an entry; the key of a removed entry is no longer valid.
pub struct Key<T> {
    index: u32,
    generation: u32,
    marker: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    /// Slot index of the entry.
    #[must_use]
    pub fn index(self) -> usize {
        self.index as usize
    }
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index && self.generation == other.generation
    }
}

impl<T> Eq for Key<T> {}

impl<T> PartialOrd for Key<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Key<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.index, self.generation).cmp(&(other.index, other.generation))
    }
}

impl<T> hash::Hash for Key<T> {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.index.hash(state);
        self.generation.hash(state);
    }
}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.index, self.generation)
    }
}

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Collection of values addressed by [`Key`].
#[derive(Clone, Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free_slots: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free_slots: Vec::new() }
    }
}

impl<T> Arena<T> {
    /// Adds a value and returns its key.
    ///
    /// # Panics
    /// Panics beyond `u32::MAX` entries.
    pub fn insert(&mut self, value: T) -> Key<T> {
        let index = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, value: None });
            u32::try_from(self.slots.len() - 1).expect("arena holds at most u32::MAX entries")
        });
        let slot = &mut self.slots[index as usize];
        slot.value = Some(value);
        Key { index, generation: slot.generation, marker: PhantomData }
    }

    /// Removes and returns the value of `key`; `None` if the key is stale.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free_slots.push(key.index);
        Some(value)
    }

    /// Value of `key`; `None` if the key is stale.
    #[must_use]
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index())?;
        (slot.generation == key.generation).then_some(slot.value.as_ref()).flatten()
    }

    /// Mutable value of `key`; `None` if the key is stale.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index())?;
        (slot.generation == key.generation).then_some(slot.value.as_mut()).flatten()
    }

    /// Number of values.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len() - self.free_slots.len()
    }

    /// Whether the arena has no values.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Values with their keys, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let index = u32::try_from(index).ok()?;
            let key = Key { index, generation: slot.generation, marker: PhantomData };
            slot.value.as_ref().map(|value| (key, value))
        })
    }

    /// Mutable values with their keys, in slot order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key<T>, &mut T)> {
        self.slots.iter_mut().enumerate().filter_map(|(index, slot)| {
            let index = u32::try_from(index).ok()?;
            let key = Key { index, generation: slot.generation, marker: PhantomData };
            slot.value.as_mut().map(|value| (key, value))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::Arena;

    /// Guards against a stale key that returns the next entry in the same slot.
    #[test]
    fn can_reject_a_stale_key() {
        let mut arena = Arena::default();
        let first = arena.insert("a");
        assert_eq!(arena.remove(first), Some("a"));
        let second = arena.insert("b");
        assert_eq!(second.index(), first.index());
        assert_eq!(arena.get(first), None);
        assert_eq!(arena.remove(first), None);
        assert_eq!(arena.get(second), Some(&"b"));
        assert_eq!(arena.iter().count(), 1);
        assert_eq!(arena.len(), 1);
    }
}
