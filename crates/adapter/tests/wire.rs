//! The simulator's line protocol: framing, numbered endpoint lists, and errors for malformed input.

use quillpoint_adapter::BatchProcessor;

const SETTINGS: &str = r#"{"Classes":[{"GoalTimeMs":150.0,"GiveUpMs":600.0,"Semantics":"free","Value":1.0},
{"GoalTimeMs":300.0,"GiveUpMs":900.0,"Semantics":"single_shot"}],"Allowed":{"MaxAttempts":4,"Probes":true,
"NotKnown":[1,2]},"Extra":{"NeedsByClass":["loose","update"],"Checks":"none"},"Discovery":"subscribe","StepMs":2}"#;

/// Processes lines and returns all replies, or the first error.
fn process(batches: &mut BatchProcessor, lines: &[&str]) -> Result<String, String> {
    let mut replies = String::new();
    for line in lines {
        replies.push_str(&batches.process_line(line).map_err(|error| error.to_string())?.unwrap_or_default());
    }
    Ok(replies)
}

/// Begins a batch and starts these instances in it.
fn started(instances: &[u64]) -> BatchProcessor {
    let mut batches = BatchProcessor::default();
    process(&mut batches, &["BATCH AtTimeMs=8412.25"]).unwrap();
    for instance in instances {
        let start = format!("POWER_ON Who={instance} Nonce64=5 BootInfo={}", SETTINGS.replace('\n', " "));
        process(&mut batches, &[&start]).unwrap();
    }
    batches
}

/// An endpoint list with one primary.
const ONE_PRIMARY: [&str; 2] =
    ["MANIFEST MembersList=1 Sheet=0", "ENTRY Condition=healthy Node=10.18.74.7:7003 Shard=11 Primary=1"];
/// The fields of a write RPC.
const WRITE: &str = "RemainingMs=240.0 GroupNo=11 Band=1 OpId=00e5dd145d3a91c4 Who=3";

#[test]
fn an_empty_batch_has_an_empty_reply() {
    assert_eq!(process(&mut BatchProcessor::default(), &["BATCH AtTimeMs=1", "FLUSH"]).unwrap(), "EOR\n");
}

#[test]
fn an_rpc_is_attempted_and_aborted_under_the_ids_it_arrived_with() {
    let mut batches = started(&[3]);
    process(&mut batches, &ONE_PRIMARY).unwrap();
    let lines =
        ["DIRECTORY_UPDATE Who=3 Sheet=0 Version=41 Form=cached", &format!("INGRESS {WRITE}"), "FLUSH"];
    let reply = process(&mut batches, &lines).unwrap();
    assert!(reply.starts_with("LISTEN Who=3 Want=1\nNOTIFY_ME Who=3 "), "{reply}");
    assert!(
        reply.contains("\nCALL_OUT Who=3 OpId=00e5dd145d3a91c4 Node=10.18.74.7:7003 TimeoutMs="),
        "{reply}"
    );
    assert!(reply.ends_with("\nEOR\n") && reply.matches("EOR").count() == 1);
    let outcome = "OUTCOME Who=3 OpId=00e5dd145d3a91c4 SeqNo=0 Node=10.18.74.7:7003 Verdict=reset TookMs=3";
    let reply = process(&mut batches, &["BATCH AtTimeMs=8420", outcome, "FLUSH"]).unwrap();
    assert!(reply.contains("END_FAILED Who=3 OpId=00e5dd145d3a91c4\n"), "{reply}");
}

#[test]
fn a_list_number_that_is_redefined_within_a_batch_does_not_change_earlier_updates() {
    let mut batches = started(&[3, 4]);
    process(&mut batches, &ONE_PRIMARY).unwrap();
    let redefined =
        ["MANIFEST Sheet=0 MembersList=1", "ENTRY Node=10.0.0.9:1 Shard=11 Primary=1 Condition=healthy"];
    process(&mut batches, &["DIRECTORY_UPDATE Who=3 Sheet=0 Version=1 Form=cached"]).unwrap();
    process(&mut batches, &redefined).unwrap();
    let other_write = WRITE.replace("Who=3", "Who=4");
    let lines = [
        "DIRECTORY_UPDATE Who=4 Sheet=0 Version=2 Form=cached",
        &format!("INGRESS {other_write}"),
        &format!("INGRESS {WRITE}"),
        "FLUSH",
    ];
    let reply = process(&mut batches, &lines).unwrap();
    let is_attempted = |instance: u64, node: &str| {
        reply.contains(&format!("CALL_OUT Who={instance} OpId=00e5dd145d3a91c4 Node={node} "))
    };
    assert!(is_attempted(3, "10.18.74.7:7003") && is_attempted(4, "10.0.0.9:1"), "{reply}");
}

#[test]
fn a_stopped_instance_can_be_started_again_in_the_same_batch() {
    let mut batches = started(&[3]);
    let start = format!("POWER_ON Who=3 Nonce64=6 BootInfo={}", SETTINGS.replace('\n', " "));
    let reply = process(&mut batches, &["DETACH Who=3", &start, "FLUSH"]).unwrap();
    assert_eq!(reply.matches("LISTEN Who=3").count(), 2);
}

#[test]
fn malformed_input_is_rejected_with_an_error_that_names_the_fault() {
    let start = "POWER_ON Who=3 Nonce64=5 BootInfo={\"Classes\":";
    let cases: [(&[&str], &str); 8] = [
        (&["FIRED Who=3 Handle=due"], "expected BATCH, found 'FIRED'"),
        (&["BATCH AtTimeMs=1", "NONSENSE Who=3"], "expected the name of a message, found 'NONSENSE'"),
        (&["BATCH AtTimeMs=1", "FIRED Who=3"], "instance 3 has not been started"),
        (&["BATCH AtTimeMs=1", "FIRED Handle=due"], "lacks the field Who"),
        (&["BATCH AtTimeMs=noon"], "AtTimeMs has the invalid value 'noon'"),
        (&["BATCH AtTimeMs=1", "MANIFEST Sheet=0 MembersList=2", "FLUSH"], "expected ENTRY, found 'FLUSH'"),
        (&["BATCH AtTimeMs=1", start], "the settings cannot be read"),
        (&["BATCH"], "lacks the field AtTimeMs"),
    ];
    for (lines, expected) in cases {
        let error = process(&mut BatchProcessor::default(), lines).unwrap_err();
        assert!(error.contains(expected), "expected {expected:?} in {error:?}");
    }
    let mut batches = BatchProcessor::default();
    process(&mut batches, &["BATCH AtTimeMs=1"]).unwrap();
    assert!(batches.end_of_input().unwrap_err().to_string().contains("the end of the input inside a batch"));
}
