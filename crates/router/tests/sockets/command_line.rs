//! The command line and the validation of the configuration.

use crate::standin::{Discovery, configuration, router_command, write_config_file};

/// Guards against configuration errors that do not name the invalid key.
#[test]
fn configuration_errors_name_the_invalid_key() {
    let run = |arguments: &[&str], variables: &[(&str, &str)]| {
        let output = router_command(arguments, variables).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8(text).unwrap())
    };
    let discovery = Discovery::start("[]".into());
    let good = configuration(discovery.address, "[]", 200);
    let check = |text: &str, variables: &[(&str, &str)]| {
        run(&["check", "-c", write_config_file(text).to_str().unwrap()], variables)
    };
    assert_eq!(check(&good, &[]).0, Some(0));
    for (from, to, key) in [
        (r#""seed":"92094eb940cf389a""#, r#""seed":"x""#, "seed:"),
        (r#""listen":"127.0.0.1:0""#, r#""listen":"here""#, "listen:"),
        (r#""memory_mb":192"#, r#""memory_mb":"much""#, "limits.memory_mb:"),
        (r#""sockets":200"#, r#""sockets":3"#, "limits.sockets:"),
        (r#""GiveUpMs":9000.0,"#, "", "methods.0.deadline"),
        (r#""rev":0"#, r#""rev":"x""#, "known:"),
        (r#""Source":"answers""#, r#""Source":"gossip""#, "reports.source"),
        (r#""Discovery":"subscribe""#, r#""Discovery":"push""#, "discovery"),
        (r#""Semantics":"free""#, r#""Semantics":"often""#, "methods.0.idempotency"),
        (r#""Group":"all""#, r#""Group":"street""#, "methods.0.idempotency_scope"),
        (r#""StepMs":2.0"#, r#""StepMs":2.0,"Weights":"heavy""#, "weights"),
        (r#""Probes":true"#, r#""Probes":"now""#, "allowed.health_checks"),
        (r#""MayDuplicate":true"#, r#""MayDuplicate":1"#, "allowed.hedging"),
        (r#""Balancers":1"#, r#""Balancers":1,"Clients":{"MarksRetry":"yes"}"#, "clients.mark_retries"),
        (r#""MaxAttempts":6"#, r#""MaxAttempts":6,"RetryAfter":0"#, "allowed.retry_after"),
        (
            r#""AskEveryMs":20000.0"#,
            r#""AskEveryMs":20000.0,"DroppedStayOpen":"no""#,
            "rules.only_listed_draining",
        ),
        ("{", "", "JSON"),
    ] {
        let (status, text) = check(&good.replacen(from, to, 1), &[]);
        assert!(status == Some(2) && text.contains(key), "expected status 2 and {key:?}: {status:?}: {text}");
    }
    // Two settings that contradict each other.
    let probed = good.replace(r#""Source":"answers""#, r#""Source":"probe""#);
    assert_eq!(check(&probed, &[]).0, Some(0));
    let (status, text) = check(&probed.replace(r#""Probes":true"#, r#""Probes":false"#), &[]);
    assert!(
        status == Some(2) && text.contains("reports.source"),
        "expected an error for reports.source: {text}"
    );
    let (status, text) = check(&good, &[("GW_DISCOVERY", "nowhere")]);
    assert!(
        status == Some(2) && text.contains("GW_DISCOVERY:"),
        "environment variables take precedence: {text}"
    );
    assert!(run(&["serve"], &[]).1.contains("GW_CONFIG"));
    assert_eq!(run(&["dance"], &[]).0, Some(2));
    assert!(run(&["version"], &[]).1.contains(env!("CARGO_PKG_VERSION")));
    assert!(run(&["--help"], &[]).1.contains("check"));
}
