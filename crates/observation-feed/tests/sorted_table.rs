//! Compares a sorted table with a `BTreeMap` under the same random operations.

use std::collections::BTreeMap;

use quickcheck::{Gen, QuickCheck};
use quillpoint_observation_feed::sorted_table::SortedTable;

#[test]
fn a_sorted_table_behaves_like_a_btree_map() {
    fn behaves_the_same(steps: Vec<(u8, u8)>) -> bool {
        let (mut table, mut tree) = (SortedTable::<u8, u32>::default(), BTreeMap::<u8, u32>::new());
        for (number, (operation, key)) in (0..).zip(steps) {
            match operation % 5 {
                0 | 1 => {
                    // Several keys at once, some of which may already exist.
                    let keys = || (key..key.saturating_add(3)).rev();
                    table.insert_missing(keys(), || number);
                    keys().for_each(|key| _ = tree.entry(key).or_insert(number));
                }
                2 => {
                    table.remove(&key);
                    tree.remove(&key);
                }
                3 => {
                    let change = |value: &mut u32| *value += 1;
                    table.get_mut(&key).map(change);
                    tree.get_mut(&key).map(change);
                }
                _ => {
                    let keep =
                        |candidate: &u8, value: u32| candidate % 8 != key % 8 && !value.is_multiple_of(5);
                    table.retain(|key, value| keep(key, *value));
                    tree.retain(|key, value| keep(key, *value));
                }
            }
            let same_pairs = table.iter().eq(tree.iter()) && table.values().eq(tree.values());
            let same_mutable_pairs = table.iter_mut().map(|(key, value)| (*key, *value)).eq(tree.clone());
            let same_value = table.get(&key) == tree.get(&key);
            if !same_pairs
                || !same_mutable_pairs
                || !same_value
                || table.len() != tree.len()
                || table.is_empty() != tree.is_empty()
            {
                return false;
            }
        }
        true
    }
    let property = behaves_the_same as fn(Vec<(u8, u8)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 1)).tests(300).quickcheck(property);
}
