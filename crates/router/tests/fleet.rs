//! Router processes that share tasks, among stand-ins: judged by what they log, what reached the nodes, and how
//! RPCs ended; never by how long anything took.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use quillpoint_testbed::listing::{Entry, Listing, targets};
use quillpoint_testbed::load::Load;
use quillpoint_testbed::routers::{Bond, Routers, Setting};
use quillpoint_testbed::store::Store;
use serde_json::Value as Json;

const NEVER: Duration = Duration::from_secs(30);

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{name}"));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// A primary, two replicas, and three routers that know of them; none started.
fn three(name: &str, bond: Bond) -> (Store, Routers, Listing) {
    let store = Store::start(&[Duration::from_millis(20), Duration::from_millis(20)]).unwrap();
    let entry = |node| Entry { node, group: 0, started: Duration::ZERO };
    let list = targets(&store.nodes.iter().map(entry).collect::<Vec<_>>());
    let listing = Listing::start(list.clone()).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_quillpoint"));
    let setting = Setting {
        program,
        folder: &folder(name),
        listing: &listing,
        targets: &list,
        bond,
        seed: 5,
        conf: "",
    };
    let routers = Routers::new(3, &setting).unwrap();
    (store, routers, listing)
}

/// The named events of a router's log, in order.
fn events(routers: &Routers, place: usize, name: &str) -> Vec<Json> {
    let lines = routers.lines(place).into_iter().map(|line| serde_json::from_str::<Json>(&line).unwrap());
    lines.filter(|line| line["event"] == name).collect()
}

/// Waits until each of these routers says that it shares with so many, and all tasks have one owner.
fn divided(routers: &Routers, among: &[usize]) -> BTreeMap<usize, u64> {
    for _ in 0..600 {
        let last = |place: &usize| events(routers, *place, "fleet_tasks").pop();
        let latest: Vec<Json> = among.iter().filter_map(last).collect();
        let owned: Vec<u64> = latest.iter().map(|line| line["owned"].as_u64().unwrap()).collect();
        let all = latest.iter().all(|line| line["routers"] == among.len() && line["all"] == 3);
        if latest.len() == among.len() && all && owned.iter().sum::<u64>() == 3 {
            return among.iter().copied().zip(owned).collect();
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!(
        "never divided among {among:?}: {:?}",
        among.iter().map(|place| routers.lines(*place)).collect::<Vec<_>>()
    );
}

#[test]
fn tasks_divide_pass_on_when_one_dies_and_come_back() {
    let (store, mut routers, _listing) = three("divide", Bond::Fleet);
    routers.start_all().unwrap();
    divided(&routers, &[0, 1, 2]);
    let addresses: Vec<_> = routers.all.iter().map(|router| router.address).collect();
    let load = Load::start(&addresses, 2, Duration::from_millis(20));
    for place in [0, 1, 2] {
        load.outages.begin(place);
        routers.kill(place);
        let others: Vec<usize> = (0..3).filter(|other| *other != place).collect();
        divided(&routers, &others);
        for other in &others {
            let name = format!("r{place}");
            let states: Vec<Json> = events(&routers, *other, "fleet_peer")
                .into_iter()
                .filter(|line| line["peer"] == name.as_str())
                .map(|line| line["state"].clone())
                .collect();
            assert_eq!(states.last().unwrap(), "Dead", "{states:?}");
        }
        routers.start(place).unwrap();
        load.outages.end(place);
        divided(&routers, &[0, 1, 2]);
    }
    let tally = load.end();
    let count = |count: &std::sync::atomic::AtomicU64| count.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(count(&tally.lost), 0);
    assert!(count(&tally.ok) > 0);
    assert_eq!(store.writes().1, 0, "none ran twice");
    assert!(store.nodes.iter().all(|node| node.stale() == 0));
    assert!(tally.entered.lock().unwrap().iter().all(|id| store.has_run(id)));
    assert!(tally.refused.lock().unwrap().iter().all(|id| !store.has_run(id)));
}

#[test]
fn a_router_that_is_told_to_stop_says_goodbye_and_is_never_suspected() {
    let (_store, mut routers, _listing) = three("leave", Bond::Fleet);
    routers.start_all().unwrap();
    divided(&routers, &[0, 1, 2]);
    routers.signal(1, "-TERM");
    assert!(routers.ended(1));
    divided(&routers, &[0, 2]);
    for place in [0, 2] {
        let about = |line: &Json| line["peer"] == "r1";
        let states: Vec<Json> = events(&routers, place, "fleet_peer").into_iter().filter(about).collect();
        assert_eq!(states.last().unwrap()["state"], "Left");
        assert!(!states.iter().any(|line| line["state"] == "Dead"), "{states:?}");
    }
}

#[test]
fn a_router_that_stood_still_says_so_and_takes_part_again() {
    let (_store, mut routers, _listing) = three("still", Bond::Fleet);
    routers.start_all().unwrap();
    divided(&routers, &[0, 1, 2]);
    routers.signal(2, "-STOP");
    divided(&routers, &[0, 1]);
    routers.signal(2, "-CONT");
    assert!(routers.await_line(2, "\"fleet_process_paused\"", NEVER));
    divided(&routers, &[0, 1, 2]);
}

#[test]
fn routers_that_know_of_no_peer_each_do_all() {
    let (_store, mut routers, _listing) = three("alone", Bond::Alone);
    routers.start_all().unwrap();
    for place in 0..3 {
        assert_eq!(divided(&routers, &[place])[&place], 3);
    }
}

#[test]
fn peers_that_a_changed_file_names_are_found_on_sighup() {
    let (_store, mut routers, _listing) = three("found", Bond::Alone);
    routers.start_all().unwrap();
    (0..3).for_each(|place| _ = divided(&routers, &[place]));
    // One of them is told of one other, and that one of the third: this is enough to be found by.
    for (place, other) in [(0, 1), (1, 2)] {
        let mut text = std::fs::read_to_string(routers.conf(place)).unwrap();
        let address = routers.all[other].relay.address;
        text.push_str(&format!("peer r{other} {{\n    address {address}\n}}\n"));
        std::fs::write(routers.conf(place), text).unwrap();
        routers.signal(place, "-HUP");
    }
    divided(&routers, &[0, 1, 2]);
    // A fault in the file changes nothing but the log.
    std::fs::write(routers.conf(0), "fleet {").unwrap();
    routers.signal(0, "-HUP");
    assert!(routers.await_line(0, "configuration reload failed", NEVER));
    divided(&routers, &[0, 1, 2]);
}

#[test]
fn without_a_fleet_section_nothing_of_it_runs() {
    let (store, mut routers, _listing) = three("off", Bond::Off);
    routers.start_all().unwrap();
    let load = Load::start(&[routers.all[0].address], 1, Duration::from_millis(10));
    while store.nodes.iter().map(|node| node.rpcs(Duration::ZERO, Duration::MAX)).sum::<usize>() < 20 {
        std::thread::sleep(Duration::from_millis(10));
    }
    load.end();
    assert!(!routers.lines(0).iter().any(|line| line.contains("fleet")), "{:?}", routers.lines(0));
}

#[test]
fn a_flood_of_noise_is_refused_by_kind_and_starves_no_rpc() {
    let (_store, mut routers, _listing) = three("flood", Bond::Fleet);
    routers.start_all().unwrap();
    divided(&routers, &[0, 1, 2]);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let to = routers.datagrams(0);
    let load = Load::start(&[routers.all[0].address], 4, Duration::from_millis(5));
    for number in 0..30_000_u32 {
        let mut bytes = number.to_be_bytes().repeat(100);
        if number % 2 == 0 {
            // It looks like ours until its key is looked for.
            bytes[..3].copy_from_slice(b"QP\x01");
        }
        _ = socket.send_to(&bytes, to);
    }
    assert!(routers.await_line(0, "\"fleet_datagram_rejected\"", NEVER));
    let tally = load.end();
    let count = |count: &std::sync::atomic::AtomicU64| count.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(count(&tally.lost), 0);
    assert!(count(&tally.ok) > 0);
    divided(&routers, &[0, 1, 2]);
}

#[test]
fn keys_are_changed_while_the_fleet_runs() {
    let (_store, mut routers, _listing) = three("keys", Bond::Fleet);
    routers.start_all().unwrap();
    divided(&routers, &[0, 1, 2]);
    let file = folder("keys").join("fleet.keys");
    let [old, new] = ["5c", "d1"].map(|byte| byte.repeat(32));
    let all = [format!("{old}\n{new}\n"), format!("{new}\n{old}\n"), format!("{new}\n")];
    for (step, text) in all.iter().enumerate() {
        std::fs::write(&file, text).unwrap();
        for place in 0..3 {
            routers.signal(place, "-HUP");
        }
        for place in 0..3 {
            while events(&routers, place, "fleet_keys").len() <= step {
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        divided(&routers, &[0, 1, 2]);
    }
    // One that comes with the old key alone is no member: it is told apart, and is alone.
    std::fs::write(&file, format!("{old}\n")).unwrap();
    routers.kill(2);
    divided(&routers, &[0, 1]);
    routers.start(2).unwrap();
    divided(&routers, &[2]);
    assert!(routers.await_line(0, "\"kind\":\"UnknownKey\"", NEVER));
}

fn check(conf: &str, mode: u32, name: &str) -> Output {
    use std::os::unix::fs::PermissionsExt;
    let (_store, _routers, _listing) = three(name, Bond::Fleet);
    let folder = folder(name);
    std::fs::write(folder.join("x.conf"), conf).unwrap();
    std::fs::set_permissions(folder.join("fleet.keys"), std::fs::Permissions::from_mode(mode)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillpoint"));
    command.arg("check").arg("--conf").arg(folder.join("x.conf")).env_clear().output().unwrap()
}

#[test]
fn check_names_what_is_wrong_and_prints_what_holds() {
    let fleet = "platform router-0.json\nfleet {\n    listen 127.0.0.1:7400\n    keys fleet.keys\n}\n";
    let good = check(fleet, 0o600, "good");
    let text = String::from_utf8(good.stdout).unwrap();
    assert!(
        good.status.success()
            && text.contains("longest 2s")
            && text.contains("every 150ms, grace 150ms, floor 150ms")
            && text.contains("the configuration is valid"),
        "{text}"
    );
    let cases = [
        (fleet.replace("keys", "kyes"), 0o600, "x.conf:4:5: kyes: expected a directive of fleet"),
        (
            fleet.to_string(),
            0o640,
            "expected a file accessible only to its owner (chmod 600), found mode 640",
        ),
        (
            fleet.replace("}", "zone b\n}"),
            0o600,
            "fleet zone: expected one of the deployment's zones (a), found b",
        ),
        (fleet.replace("router-0", "router-9"), 0o600, "router-9.json"),
    ];
    for (place, (conf, mode, fault)) in cases.iter().enumerate() {
        let refused = check(conf, *mode, &format!("bad-{place}"));
        let text = String::from_utf8(refused.stderr).unwrap();
        assert_eq!(refused.status.code(), Some(2), "{text}");
        assert!(text.contains(fault), "{text}");
    }
}

#[test]
fn the_table_of_events_is_complete() {
    let page =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/on-call.md")).unwrap();
    for name in quillpoint_router::events::NAMES {
        assert!(page.contains(&format!("`{name}`")), "docs/on-call.md does not explain {name}");
    }
}
