//! A map for tables that are iterated and looked up thousands of times for each insertion: keys lie side by side in
//! their order, and so do values; a hash map finds the index of each.

use std::hash::Hash;

use quillpoint_membership::fast_hash_map::FastHashMap;

/// A map in the order of its keys. Insertion and removal cost as much as the table is long.
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

    /// The value of a key, to be changed.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.indices.get(key).map(|index| &mut self.values[*index])
    }

    /// Inserts the keys that are missing, each with a new value; values that are there stay.
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

    /// Removes all for which `keep` is false; it is called in the order of the keys.
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

    /// All pairs in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.keys.iter().zip(&self.values)
    }

    /// All pairs in the order of the keys, values to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.keys.iter().zip(&mut self.values)
    }

    /// All values in the order of the keys.
    pub fn values(&self) -> std::slice::Iter<'_, V> {
        self.values.iter()
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
