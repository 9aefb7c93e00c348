//! A router's replica of the partitions: snapshots, changes, coverage by digests.

use quillpoint_observation_feed::message::{
    DigestNumber, LAG_CLASSES, PARTITIONS, PartitionId, Revision, SnapshotChunk,
};
use quillpoint_observation_feed::partition_replicas::{Coverage, PartitionReplicas, ReplicaSize};
use quillpoint_observation_feed::{Change, Entry, NodeStatus};

use crate::fixtures::{chunk, ms, nodes_of_one_partition, seen_entry};

fn size(nodes: usize, pending_entries: usize) -> ReplicaSize {
    ReplicaSize { nodes, pending_entries }
}

fn cover(replicas: &mut PartitionReplicas, number: u32, revision: u32, seen_at: u64) {
    let mut revisions = vec![Revision::default(); PARTITIONS];
    revisions[5] = Revision(revision);
    let mut watermarks = [None; LAG_CLASSES];
    (watermarks[0], watermarks[1]) = (Some(ms(seen_at - 10)), Some(ms(seen_at - 200)));
    replicas.cover(&revisions, Coverage { number: DigestNumber(number), seen_at: ms(seen_at), watermarks });
}

#[test]
fn a_snapshot_is_taken_over_when_all_chunks_of_one_revision_have_arrived() {
    let [one, two, three] = nodes_of_one_partition();
    let mut replicas = PartitionReplicas::default();
    replicas.add_chunk(chunk(3, 0, 3, &[one]));
    replicas.add_chunk(chunk(3, 0, 3, &[one]));
    replicas.add_chunk(chunk(3, 2, 3, &[three]));
    assert_eq!((replicas.revision(PartitionId(5)), replicas.size()), (Revision(0), size(0, 2)));
    // Another revision begins anew, and an earlier one does not disturb it.
    replicas.add_chunk(chunk(4, 1, 2, &[two]));
    replicas.add_chunk(chunk(3, 1, 3, &[two]));
    assert_eq!((replicas.revision(PartitionId(5)), replicas.size()), (Revision(0), size(0, 1)));
    replicas.add_chunk(chunk(4, 0, 2, &[one]));
    assert_eq!((replicas.revision(PartitionId(5)), replicas.size()), (Revision(4), size(2, 0)));
    // One for another part, or with databases of another, or out of its bounds, changes nothing.
    let before = replicas.clone();
    replicas.add_chunk(SnapshotChunk { partition: PartitionId(6), ..chunk(9, 0, 1, &[one]) });
    replicas.add_chunk(SnapshotChunk { partition: PartitionId(200), ..chunk(9, 0, 1, &[one]) });
    replicas.add_chunk(chunk(9, 1, 1, &[one]));
    replicas.add_chunk(chunk(9, 0, u16::MAX, &[one]));
    replicas.add_chunk(chunk(4, 0, 1, &[three]));
    assert_eq!(replicas, before);
}

#[test]
fn a_digest_covers_what_its_revision_says_and_nothing_else() {
    let [one, two, three] = nodes_of_one_partition();
    let mut replicas = PartitionReplicas::default();
    replicas.add_chunk(chunk(1, 0, 1, &[one, two]));
    assert_eq!(replicas.observation(one), None, "no digest has covered it");
    cover(&mut replicas, 1, 1, 1000);
    assert_eq!(
        (replicas.observation(one).unwrap().seen_at, replicas.observation(one).unwrap().position),
        (ms(1000), Some(ms(990)))
    );
    // Another revision says nothing, whether it is later or earlier.
    cover(&mut replicas, 2, 2, 2000);
    cover(&mut replicas, 3, 0, 2000);
    assert_eq!(replicas.observation(one).unwrap().seen_at, ms(1000));
    // A change that does not follow is not taken; one that does is, and what it is about keeps its date.
    let change = |revision, entry| Change { revision: Revision(revision), node: one, entry };
    assert!(replicas.apply_changes(vec![change(3, None)], ms(2000)).is_empty());
    assert_eq!(replicas.revision(PartitionId(5)), Revision(1));
    let unseen = Entry { status: NodeStatus::Unseen, ..seen_entry(0) };
    replicas.apply_changes(vec![change(3, Some(seen_entry(1))), change(2, Some(unseen))], ms(2000));
    assert_eq!(replicas.revision(PartitionId(5)), Revision(3));
    assert_eq!(
        (replicas.observation(one).unwrap().seen_at, replicas.observation(two).unwrap().seen_at),
        (ms(1000), ms(1000))
    );
    cover(&mut replicas, 4, 3, 3000);
    assert_eq!(
        (replicas.observation(one).unwrap().seen_at, replicas.observation(one).unwrap().position),
        (ms(3000), Some(ms(2800)))
    );
    assert_eq!(replicas.observation(two).unwrap().position, Some(ms(2990)));
    // A failure is dated by its change, and stays so.
    let down = Entry { status: NodeStatus::Down, ..seen_entry(0) };
    assert_eq!(replicas.apply_changes(vec![change(4, Some(down))], ms(4000)), [one]);
    cover(&mut replicas, 5, 4, 5000);
    let observation = replicas.observation(one).unwrap();
    assert!(observation.failed && observation.seen_at == ms(4000) && observation.position.is_none());
    // One that leaves the list is no more.
    replicas.apply_changes(vec![change(5, None)], ms(6000));
    assert_eq!((replicas.observation(one), replicas.observation(three)), (None, None));
}
