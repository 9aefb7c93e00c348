//! Maps that are looked up thousands of times a second, by ids that nobody chooses to do harm: nodes come from the
//! platform's own list. Never gone through in an order that anything hangs on.

use std::collections::HashMap;

pub type FastHashMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
