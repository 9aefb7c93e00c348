//! The wire's framing, its numbered lists and what is malformed.

use quillpoint_adapter::BatchProcessor;

const SETTINGS: &str = r#"{"Classes":[{"GoalTimeMs":150.0,"GiveUpMs":600.0,"Semantics":"free","Value":1.0},
{"GoalTimeMs":300.0,"GiveUpMs":900.0,"Semantics":"single_shot"}],"Allowed":{"MaxAttempts":4,"Probes":true,
"NotKnown":[1,2]},"Extra":{"NeedsByClass":["loose","update"],"Checks":"none"},"Discovery":"subscribe","StepMs":2}"#;

fn feed(batches: &mut BatchProcessor, lines: &[&str]) -> Result<String, String> {
    let mut all = String::new();
    for line in lines {
        all.push_str(&batches.process_line(line).map_err(|fault| fault.to_string())?.unwrap_or_default());
    }
    Ok(all)
}

fn started(who: &[u64]) -> BatchProcessor {
    let mut batches = BatchProcessor::default();
    feed(&mut batches, &["BATCH AtTimeMs=8412.25"]).unwrap();
    for who in who {
        let boot = format!("POWER_ON Who={who} Nonce64=5 BootInfo={}", SETTINGS.replace('\n', " "));
        feed(&mut batches, &[&boot]).unwrap();
    }
    batches
}

const ONE: [&str; 2] =
    ["MANIFEST MembersList=1 Sheet=0", "ENTRY Condition=healthy Node=10.18.74.7:7003 Shard=11 Primary=1"];
const WRITE: &str = "RemainingMs=240.0 GroupNo=11 Band=1 OpId=00e5dd145d3a91c4 Who=3";

#[test]
fn an_empty_batch_has_an_empty_reply() {
    assert_eq!(feed(&mut BatchProcessor::default(), &["BATCH AtTimeMs=1", "FLUSH"]).unwrap(), "EOR\n");
}

#[test]
fn an_rpc_is_sent_and_its_ids_come_back_as_they_were() {
    let mut batches = started(&[3]);
    feed(&mut batches, &ONE).unwrap();
    let lines =
        ["DIRECTORY_UPDATE Who=3 Sheet=0 Version=41 Form=cached", &format!("INGRESS {WRITE}"), "FLUSH"];
    let reply = feed(&mut batches, &lines).unwrap();
    assert!(reply.starts_with("LISTEN Who=3 Want=1\nNOTIFY_ME Who=3 "), "{reply}");
    assert!(
        reply.contains("\nCALL_OUT Who=3 OpId=00e5dd145d3a91c4 Node=10.18.74.7:7003 TimeoutMs="),
        "{reply}"
    );
    assert!(reply.ends_with("\nEOR\n") && reply.matches("EOR").count() == 1);
    let outcome = "OUTCOME Who=3 OpId=00e5dd145d3a91c4 SeqNo=0 Node=10.18.74.7:7003 Verdict=reset TookMs=3";
    let reply = feed(&mut batches, &["BATCH AtTimeMs=8420", outcome, "FLUSH"]).unwrap();
    assert!(reply.contains("END_FAILED Who=3 OpId=00e5dd145d3a91c4\n"), "{reply}");
}

#[test]
fn a_list_number_is_reused_within_a_batch() {
    let mut batches = started(&[3, 4]);
    feed(&mut batches, &ONE).unwrap();
    let second =
        ["MANIFEST Sheet=0 MembersList=1", "ENTRY Node=10.0.0.9:1 Shard=11 Primary=1 Condition=healthy"];
    feed(&mut batches, &["DIRECTORY_UPDATE Who=3 Sheet=0 Version=1 Form=cached"]).unwrap();
    feed(&mut batches, &second).unwrap();
    let other = WRITE.replace("Who=3", "Who=4");
    let lines = [
        "DIRECTORY_UPDATE Who=4 Sheet=0 Version=2 Form=cached",
        &format!("INGRESS {other}"),
        &format!("INGRESS {WRITE}"),
        "FLUSH",
    ];
    let reply = feed(&mut batches, &lines).unwrap();
    let sent = |who: u64, node: &str| {
        reply.contains(&format!("CALL_OUT Who={who} OpId=00e5dd145d3a91c4 Node={node} "))
    };
    assert!(sent(3, "10.18.74.7:7003") && sent(4, "10.0.0.9:1"), "{reply}");
}

#[test]
fn a_killed_instance_starts_anew_in_the_same_batch() {
    let mut batches = started(&[3]);
    let boot = format!("POWER_ON Who=3 Nonce64=6 BootInfo={}", SETTINGS.replace('\n', " "));
    let reply = feed(&mut batches, &["DETACH Who=3", &boot, "FLUSH"]).unwrap();
    assert_eq!(reply.matches("LISTEN Who=3").count(), 2);
}

#[test]
fn what_is_malformed_is_told_and_never_guessed() {
    let boot = "POWER_ON Who=3 Nonce64=5 BootInfo={\"Classes\":";
    let cases: [(&[&str], &str); 8] = [
        (&["FIRED Who=3 Handle=due"], "where BATCH is due"),
        (&["BATCH AtTimeMs=1", "NONSENSE Who=3"], "not a message"),
        (&["BATCH AtTimeMs=1", "FIRED Who=3"], "instance 3 has not been started"),
        (&["BATCH AtTimeMs=1", "FIRED Handle=due"], "lacks the field Who"),
        (&["BATCH AtTimeMs=noon"], "AtTimeMs=noon cannot be read"),
        (&["BATCH AtTimeMs=1", "MANIFEST Sheet=0 MembersList=2", "FLUSH"], "where ENTRY is due"),
        (&["BATCH AtTimeMs=1", boot], "the settings cannot be read"),
        (&["BATCH"], "lacks the field AtTimeMs"),
    ];
    for (lines, told) in cases {
        let fault = feed(&mut BatchProcessor::default(), lines).unwrap_err();
        assert!(fault.contains(told), "{fault}");
    }
    let mut batches = BatchProcessor::default();
    feed(&mut batches, &["BATCH AtTimeMs=1"]).unwrap();
    assert!(batches.end_of_input().unwrap_err().to_string().contains("ends inside a batch"));
}
