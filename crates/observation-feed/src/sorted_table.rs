//! A map that is gone through and looked up thousands of times for each time that something is entered: keys lie side by
//! side in their order, and so do values; a hash finds the place of each.

use std::hash::Hash;

use quillpoint_membership::fast_hash_map::FastHashMap;

pub struct SortedTable<K, V> {
    keys: Vec<K>,
    values: Vec<V>,
    places: FastHashMap<K, usize>,
}

impl<K, V> Default for SortedTable<K, V> {
    fn default() -> Self {
        Self { keys: Vec::new(), values: Vec::new(), places: FastHashMap::default() }
    }
}

impl<K: Ord + Copy + Hash, V> SortedTable<K, V> {
    pub fn get(&self, key: &K) -> Option<&V> {
        self.places.get(key).map(|place| &self.values[*place])
    }

    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.places.get(key).map(|place| &mut self.values[*place])
    }

    /// Enters what is not there yet; what is there stays.
    pub fn enter(&mut self, keys: impl IntoIterator<Item = K>, value: impl Fn() -> V) {
        let before = self.keys.len();
        for key in keys {
            if !self.places.contains_key(&key) {
                self.places.insert(key, self.keys.len());
                self.keys.push(key);
                self.values.push(value());
            }
        }
        if self.keys.len() > before {
            let (keys, values) = (std::mem::take(&mut self.keys), std::mem::take(&mut self.values));
            let mut all: Vec<(K, V)> = keys.into_iter().zip(values).collect();
            all.sort_unstable_by_key(|(key, _)| *key);
            (self.keys, self.values) = all.into_iter().unzip();
            self.find_places();
        }
    }

    pub fn remove(&mut self, key: &K) {
        if let Some(place) = self.places.get(key).copied() {
            self.keys.remove(place);
            self.values.remove(place);
            self.find_places();
        }
    }

    /// In the order of the keys.
    pub fn retain(&mut self, mut stays: impl FnMut(&K, &V) -> bool) {
        let kept: Vec<bool> = self.iter().map(|(key, value)| stays(key, value)).collect();
        if kept.iter().all(|stays| *stays) {
            return;
        }
        let mut of_keys = kept.iter();
        self.keys.retain(|_| of_keys.next().is_some_and(|stays| *stays));
        let mut of_values = kept.iter();
        self.values.retain(|_| of_values.next().is_some_and(|stays| *stays));
        self.find_places();
    }

    fn find_places(&mut self) {
        self.places.clear();
        self.places.extend(self.keys.iter().copied().zip(0..));
    }

    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.keys.iter().zip(&self.values)
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.keys.iter().zip(&mut self.values)
    }

    pub fn values(&self) -> std::slice::Iter<'_, V> {
        self.values.iter()
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
