//! A sorted map for tables with thousands of iterations and lookups per insertion: keys and values are stored
//! in two contiguous arrays in key order, and a hash map holds the index of each key.

use std::hash::Hash;

use quillpoint_membership::fast_hash_map::FastHashMap;

/// A map sorted by key. The cost of an insertion or removal grows with the length of the table.
pub struct SortedTable<K, V> {
    keys: Vec<K>,
    values: Vec<V>,
    indices: FastHashMap<K, usize>,
}

impl<K, V> Default for SortedTable<K, V> {
    fn default() -> Self {
        Self { keys: Vec::new(), values: Vec::new(), indices: FastHashMap::default() }
    }
}

impl<K: Ord + Copy + Hash, V> SortedTable<K, V> {
    /// The value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.indices.get(key).map(|index| &self.values[*index])
    }

    /// The value of a key, mutable.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.indices.get(key).map(|index| &mut self.values[*index])
    }

    /// Inserts the missing keys, each with a new value; existing values are kept.
    pub fn insert_missing(&mut self, keys: impl IntoIterator<Item = K>, new_value: impl Fn() -> V) {
        let length_before = self.keys.len();
        for key in keys {
            if !self.indices.contains_key(&key) {
                self.indices.insert(key, self.keys.len());
                self.keys.push(key);
                self.values.push(new_value());
            }
        }
        if self.keys.len() > length_before {
            self.sort();
        }
    }

    fn sort(&mut self) {
        let keys = std::mem::take(&mut self.keys);
        let values = std::mem::take(&mut self.values);
        let mut pairs: Vec<(K, V)> = keys.into_iter().zip(values).collect();
        pairs.sort_unstable_by_key(|(key, _)| *key);
        (self.keys, self.values) = pairs.into_iter().unzip();
        self.rebuild_indices();
    }

    /// Removes a key and its value.
    pub fn remove(&mut self, key: &K) {
        if let Some(index) = self.indices.get(key).copied() {
            self.keys.remove(index);
            self.values.remove(index);
            self.rebuild_indices();
        }
    }

    /// Removes all pairs for which `keep` returns false. `keep` is called in key order.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &V) -> bool) {
        let kept: Vec<bool> = self.iter().map(|(key, value)| keep(key, value)).collect();
        if kept.iter().all(|is_kept| *is_kept) {
            return;
        }
        let mut kept_keys = kept.iter();
        self.keys.retain(|_| kept_keys.next().is_some_and(|is_kept| *is_kept));
        let mut kept_values = kept.iter();
        self.values.retain(|_| kept_values.next().is_some_and(|is_kept| *is_kept));
        self.rebuild_indices();
    }

    fn rebuild_indices(&mut self) {
        self.indices.clear();
        self.indices.extend(self.keys.iter().copied().zip(0..));
    }

    /// All pairs in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.keys.iter().zip(&self.values)
    }

    /// All pairs in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.keys.iter().zip(&mut self.values)
    }

    /// All values in key order.
    pub fn values(&self) -> std::slice::Iter<'_, V> {
        self.values.iter()
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
