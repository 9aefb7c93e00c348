//! A sorted table holds what a tree map holds, in the same order, whatever is done to both.

use std::collections::BTreeMap;

use quickcheck::{Gen, QuickCheck};
use quillpoint_observation_feed::sorted_table::SortedTable;

#[test]
fn a_sorted_table_does_as_a_tree_map_does() {
    fn does_the_same(steps: Vec<(u8, u8)>) -> bool {
        let (mut table, mut tree) = (SortedTable::<u8, u32>::default(), BTreeMap::<u8, u32>::new());
        for (number, (what, key)) in (0..).zip(steps) {
            match what % 5 {
                0 | 1 => {
                    // Several at once, of which some may be there.
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
                    let stays =
                        |key_there: &u8, value: u32| key_there % 8 != key % 8 && !value.is_multiple_of(5);
                    table.retain(|key, value| stays(key, *value));
                    tree.retain(|key, value| stays(key, *value));
                }
            }
            let all = table.iter().eq(tree.iter()) && table.values().eq(tree.values());
            let mutable = table.iter_mut().map(|(key, value)| (*key, *value)).eq(tree.clone());
            let one = table.get(&key) == tree.get(&key);
            if !all || !mutable || !one || table.len() != tree.len() || table.is_empty() != tree.is_empty() {
                return false;
            }
        }
        true
    }
    let steps = does_the_same as fn(Vec<(u8, u8)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 1)).tests(300).quickcheck(steps);
}
