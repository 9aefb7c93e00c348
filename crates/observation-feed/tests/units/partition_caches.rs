//! A router's cache of the partitions: snapshots, changes, coverage by digests.

use quillpoint_observation_feed::message::{
    DigestNumber, LAG_CLASSES, PARTITIONS, PartitionId, Revision, SnapshotChunk,
};
use quillpoint_observation_feed::partition_caches::{CacheSize, Coverage, PartitionCaches};
use quillpoint_observation_feed::{Change, Entry, NodeStatus};

use crate::fixtures::{chunk, ms, nodes_of_one_partition, seen_entry};

fn size(nodes: usize, pending_entries: usize) -> CacheSize {
    CacheSize { nodes, pending_entries }
}

fn cover(caches: &mut PartitionCaches, number: u32, revision: u32, seen_at: u64) {
    let mut revisions = vec![Revision::default(); PARTITIONS];
    revisions[5] = Revision(revision);
    let mut watermarks = [None; LAG_CLASSES];
    (watermarks[0], watermarks[1]) = (Some(ms(seen_at - 10)), Some(ms(seen_at - 200)));
    caches.cover(&revisions, Coverage { number: DigestNumber(number), seen_at: ms(seen_at), watermarks });
}

#[test]
fn a_snapshot_is_installed_once_all_chunks_of_one_revision_have_arrived() {
    let [one, two, three] = nodes_of_one_partition();
    let mut caches = PartitionCaches::default();
    caches.add_chunk(chunk(3, 0, 3, &[one]));
    caches.add_chunk(chunk(3, 0, 3, &[one]));
    caches.add_chunk(chunk(3, 2, 3, &[three]));
    assert_eq!((caches.revision(PartitionId(5)), caches.size()), (Revision(0), size(0, 2)));
    // A chunk of a later revision replaces the partial snapshot; one of an earlier revision is ignored.
    caches.add_chunk(chunk(4, 1, 2, &[two]));
    caches.add_chunk(chunk(3, 1, 3, &[two]));
    assert_eq!((caches.revision(PartitionId(5)), caches.size()), (Revision(0), size(0, 1)));
    caches.add_chunk(chunk(4, 0, 2, &[one]));
    assert_eq!((caches.revision(PartitionId(5)), caches.size()), (Revision(4), size(2, 0)));
    // Chunks with databases of another partition, of an unknown partition, with an invalid index or chunk
    // count, or of a revision that is not newer are ignored.
    let before = caches.clone();
    caches.add_chunk(SnapshotChunk { partition: PartitionId(6), ..chunk(9, 0, 1, &[one]) });
    caches.add_chunk(SnapshotChunk { partition: PartitionId(200), ..chunk(9, 0, 1, &[one]) });
    caches.add_chunk(chunk(9, 1, 1, &[one]));
    caches.add_chunk(chunk(9, 0, u16::MAX, &[one]));
    caches.add_chunk(chunk(4, 0, 1, &[three]));
    assert_eq!(caches, before);
}

#[test]
fn a_digest_covers_only_partitions_at_the_revision_that_it_names() {
    let [one, two, three] = nodes_of_one_partition();
    let mut caches = PartitionCaches::default();
    caches.add_chunk(chunk(1, 0, 1, &[one, two]));
    assert_eq!(caches.observation(one), None, "no digest has covered the partition yet");
    cover(&mut caches, 1, 1, 1000);
    assert_eq!(
        (caches.observation(one).unwrap().seen_at, caches.observation(one).unwrap().position),
        (ms(1000), Some(ms(990)))
    );
    // Digests that name another revision, later or earlier, do not cover the partition.
    cover(&mut caches, 2, 2, 2000);
    cover(&mut caches, 3, 0, 2000);
    assert_eq!(caches.observation(one).unwrap().seen_at, ms(1000));
    // A change is ignored unless its revision is the next one. A database keeps its date when its entry
    // changes.
    let change = |revision, entry| Change { revision: Revision(revision), node: one, entry };
    assert!(caches.apply_changes(vec![change(3, None)], ms(2000)).is_empty());
    assert_eq!(caches.revision(PartitionId(5)), Revision(1));
    let unseen = Entry { status: NodeStatus::Unseen, ..seen_entry(0) };
    caches.apply_changes(vec![change(3, Some(seen_entry(1))), change(2, Some(unseen))], ms(2000));
    assert_eq!(caches.revision(PartitionId(5)), Revision(3));
    assert_eq!(
        (caches.observation(one).unwrap().seen_at, caches.observation(two).unwrap().seen_at),
        (ms(1000), ms(1000))
    );
    cover(&mut caches, 4, 3, 3000);
    assert_eq!(
        (caches.observation(one).unwrap().seen_at, caches.observation(one).unwrap().position),
        (ms(3000), Some(ms(2800)))
    );
    assert_eq!(caches.observation(two).unwrap().position, Some(ms(2990)));
    // A failure is dated by the digest with its change, and later digests do not change that date.
    let down = Entry { status: NodeStatus::Down, ..seen_entry(0) };
    assert_eq!(caches.apply_changes(vec![change(4, Some(down))], ms(4000)), [one]);
    cover(&mut caches, 5, 4, 5000);
    let observation = caches.observation(one).unwrap();
    assert!(observation.failed && observation.seen_at == ms(4000) && observation.position.is_none());
    // A database that leaves the endpoint list is removed.
    caches.apply_changes(vec![change(5, None)], ms(6000));
    assert_eq!((caches.observation(one), caches.observation(three)), (None, None));
}
