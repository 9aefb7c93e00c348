//! The hash map of the tables that are looked up thousands of times a second.

use std::collections::HashMap;

/// A hash map with a fast hash function that is not protected against hash flooding: its keys come from the
/// platform's endpoint list, not from clients. Nothing may depend on its iteration order.
pub type FastHashMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
