//! The hash map for tables that are looked up thousands of times a second.

use std::collections::HashMap;

/// A map with a fast hash that gives no protection against chosen keys: nodes come from the platform's own list. Nothing
/// may depend on its order of iteration.
pub type FastHashMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
