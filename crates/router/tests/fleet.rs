//! Router processes that share tasks in a fleet, with stand-ins for the nodes and discovery. The tests check
//! the logs, the requests that reached the nodes and the results of RPCs. They do not check how long anything
//! took, because the machine may be slow.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use quillpoint_testbed::listing::{DiscoveryServer, Endpoint, endpoint_list_json};
use quillpoint_testbed::load::LoadGenerator;
use quillpoint_testbed::replica_set::ReplicaSet;
use quillpoint_testbed::routers::{FleetMode, Routers, RoutersConfig};
use serde_json::Value as Json;

const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{name}"));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Starts a primary and two replicas, and prepares three routers without starting them.
fn three_routers(name: &str, fleet_mode: FleetMode) -> (ReplicaSet, Routers, DiscoveryServer) {
    let store = ReplicaSet::start(&[Duration::from_millis(20), Duration::from_millis(20)]).unwrap();
    let entry = |node| Endpoint { node, group: 0, started: Duration::ZERO };
    let list = endpoint_list_json(&store.nodes.iter().map(entry).collect::<Vec<_>>());
    let listing = DiscoveryServer::start(list.clone()).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_quillpoint"));
    let setting = RoutersConfig {
        program,
        directory: &folder(name),
        discovery: &listing,
        endpoints: &list,
        fleet_mode,
        seed: 5,
        extra_directives: "",
    };
    let routers = Routers::new(3, &setting).unwrap();
    (store, routers, listing)
}

/// The events with this name in a router's log, in order.
fn events(routers: &Routers, index: usize, name: &str) -> Vec<Json> {
    let lines = routers.log_lines(index).into_iter().map(|line| serde_json::from_str::<Json>(&line).unwrap());
    lines.filter(|line| line["event"] == name).collect()
}

/// Waits until each of these routers logs that the tasks are divided among all of them, and together they own
/// each of the three tasks once. Returns how many tasks each router owns.
fn await_tasks_divided(routers: &Routers, members: &[usize]) -> BTreeMap<usize, u64> {
    for _ in 0..600 {
        let last = |index: &usize| events(routers, *index, "fleet_tasks").pop();
        let latest: Vec<Json> = members.iter().filter_map(last).collect();
        let owned: Vec<u64> = latest.iter().map(|line| line["owned"].as_u64().unwrap()).collect();
        let is_divided = latest.iter().all(|line| line["routers"] == members.len() && line["all"] == 3);
        if latest.len() == members.len() && is_divided && owned.iter().sum::<u64>() == 3 {
            return members.iter().copied().zip(owned).collect();
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!(
        "tasks were never divided among routers {members:?}; their logs: {:?}",
        members.iter().map(|index| routers.log_lines(*index)).collect::<Vec<_>>()
    );
}

#[test]
fn tasks_are_taken_over_from_a_killed_router_and_divided_again_after_its_restart() {
    let (store, mut routers, _listing) = three_routers("divide", FleetMode::Shared);
    routers.start_all().unwrap();
    await_tasks_divided(&routers, &[0, 1, 2]);
    let addresses: Vec<_> = routers.all.iter().map(|router| router.address).collect();
    let load = LoadGenerator::start(&addresses, 2, Duration::from_millis(20));
    for index in [0, 1, 2] {
        load.outages.begin(index);
        routers.kill(index);
        let others: Vec<usize> = (0..3).filter(|other| *other != index).collect();
        await_tasks_divided(&routers, &others);
        for other in &others {
            let name = format!("r{index}");
            let states: Vec<Json> = events(&routers, *other, "fleet_peer")
                .into_iter()
                .filter(|line| line["peer"] == name.as_str())
                .map(|line| line["state"].clone())
                .collect();
            assert_eq!(states.last().unwrap(), "Dead", "{states:?}");
        }
        routers.start(index).unwrap();
        load.outages.end(index);
        await_tasks_divided(&routers, &[0, 1, 2]);
    }
    let tally = load.finish();
    let count = |count: &std::sync::atomic::AtomicU64| count.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(count(&tally.lost), 0);
    assert!(count(&tally.ok) > 0);
    assert_eq!(store.write_counts().1, 0, "a write ran more than once");
    assert!(store.nodes.iter().all(|node| node.stale_reads() == 0));
    assert!(tally.committed_ids.lock().unwrap().iter().all(|id| store.has_executed(id)));
    assert!(tally.rejected_ids.lock().unwrap().iter().all(|id| !store.has_executed(id)));
}

#[test]
fn a_router_that_shuts_down_leaves_the_fleet_and_is_not_declared_dead() {
    let (_store, mut routers, _listing) = three_routers("leave", FleetMode::Shared);
    routers.start_all().unwrap();
    await_tasks_divided(&routers, &[0, 1, 2]);
    routers.signal(1, "-TERM");
    assert!(routers.wait_for_exit(1));
    await_tasks_divided(&routers, &[0, 2]);
    for index in [0, 2] {
        let about = |line: &Json| line["peer"] == "r1";
        let states: Vec<Json> = events(&routers, index, "fleet_peer").into_iter().filter(about).collect();
        assert_eq!(states.last().unwrap()["state"], "Left");
        assert!(!states.iter().any(|line| line["state"] == "Dead"), "{states:?}");
    }
}

#[test]
fn a_paused_router_logs_the_pause_and_rejoins_the_fleet() {
    let (_store, mut routers, _listing) = three_routers("still", FleetMode::Shared);
    routers.start_all().unwrap();
    await_tasks_divided(&routers, &[0, 1, 2]);
    routers.signal(2, "-STOP");
    await_tasks_divided(&routers, &[0, 1]);
    routers.signal(2, "-CONT");
    assert!(routers.wait_for_line(2, "\"fleet_process_paused\"", EVENT_TIMEOUT));
    await_tasks_divided(&routers, &[0, 1, 2]);
}

#[test]
fn routers_without_configured_peers_each_own_all_tasks() {
    let (_store, mut routers, _listing) = three_routers("alone", FleetMode::Separate);
    routers.start_all().unwrap();
    for index in 0..3 {
        assert_eq!(await_tasks_divided(&routers, &[index])[&index], 3);
    }
}

#[test]
fn peers_added_to_the_configuration_are_joined_on_sighup() {
    let (_store, mut routers, _listing) = three_routers("found", FleetMode::Separate);
    routers.start_all().unwrap();
    (0..3).for_each(|index| _ = await_tasks_divided(&routers, &[index]));
    // Router 0 is given the address of router 1, and router 1 that of router 2: gossip spreads the rest.
    for (index, other) in [(0, 1), (1, 2)] {
        let mut text = std::fs::read_to_string(routers.conf_path(index)).unwrap();
        let address = routers.all[other].relay.address;
        text.push_str(&format!("peer r{other} {{\n    address {address}\n}}\n"));
        std::fs::write(routers.conf_path(index), text).unwrap();
        routers.signal(index, "-HUP");
    }
    await_tasks_divided(&routers, &[0, 1, 2]);
    // An invalid file is logged and has no other effect.
    std::fs::write(routers.conf_path(0), "fleet {").unwrap();
    routers.signal(0, "-HUP");
    assert!(routers.wait_for_line(0, "configuration reload failed", EVENT_TIMEOUT));
    await_tasks_divided(&routers, &[0, 1, 2]);
}

#[test]
fn without_a_fleet_section_nothing_of_the_fleet_runs() {
    let (store, mut routers, _listing) = three_routers("off", FleetMode::Disabled);
    routers.start_all().unwrap();
    let load = LoadGenerator::start(&[routers.all[0].address], 1, Duration::from_millis(10));
    while store.nodes.iter().map(|node| node.rpcs_between(Duration::ZERO, Duration::MAX)).sum::<usize>() < 20
    {
        std::thread::sleep(Duration::from_millis(10));
    }
    load.finish();
    assert!(!routers.log_lines(0).iter().any(|line| line.contains("fleet")), "{:?}", routers.log_lines(0));
}

#[test]
fn a_flood_of_invalid_datagrams_is_rejected_and_loses_no_rpc() {
    let (_store, mut routers, _listing) = three_routers("flood", FleetMode::Shared);
    routers.start_all().unwrap();
    await_tasks_divided(&routers, &[0, 1, 2]);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let to = routers.datagram_address(0);
    let load = LoadGenerator::start(&[routers.all[0].address], 4, Duration::from_millis(5));
    for number in 0..30_000_u32 {
        let mut bytes = number.to_be_bytes().repeat(100);
        if number % 2 == 0 {
            // Has a valid header and is rejected only when its key is looked up.
            bytes[..3].copy_from_slice(b"QP\x01");
        }
        _ = socket.send_to(&bytes, to);
    }
    assert!(routers.wait_for_line(0, "\"fleet_datagram_rejected\"", EVENT_TIMEOUT));
    let tally = load.finish();
    let count = |count: &std::sync::atomic::AtomicU64| count.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(count(&tally.lost), 0);
    assert!(count(&tally.ok) > 0);
    await_tasks_divided(&routers, &[0, 1, 2]);
}

#[test]
fn keys_can_be_rotated_while_the_fleet_runs() {
    let (_store, mut routers, _listing) = three_routers("keys", FleetMode::Shared);
    routers.start_all().unwrap();
    await_tasks_divided(&routers, &[0, 1, 2]);
    let file = folder("keys").join("fleet.keys");
    let [old, new] = ["5c", "d1"].map(|byte| byte.repeat(32));
    let key_files = [format!("{old}\n{new}\n"), format!("{new}\n{old}\n"), format!("{new}\n")];
    for (step, text) in key_files.iter().enumerate() {
        std::fs::write(&file, text).unwrap();
        for index in 0..3 {
            routers.signal(index, "-HUP");
        }
        for index in 0..3 {
            while events(&routers, index, "fleet_keys").len() <= step {
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        await_tasks_divided(&routers, &[0, 1, 2]);
    }
    // A router that has only the old key cannot join: its datagrams are rejected as sealed with an unknown
    // key.
    std::fs::write(&file, format!("{old}\n")).unwrap();
    routers.kill(2);
    await_tasks_divided(&routers, &[0, 1]);
    routers.start(2).unwrap();
    await_tasks_divided(&routers, &[2]);
    assert!(routers.wait_for_line(0, "\"kind\":\"UnknownKey\"", EVENT_TIMEOUT));
}

fn check(conf: &str, mode: u32, name: &str) -> Output {
    use std::os::unix::fs::PermissionsExt;
    let (_store, _routers, _listing) = three_routers(name, FleetMode::Shared);
    let folder = folder(name);
    std::fs::write(folder.join("x.conf"), conf).unwrap();
    std::fs::set_permissions(folder.join("fleet.keys"), std::fs::Permissions::from_mode(mode)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillpoint"));
    command.arg("check").arg("--conf").arg(folder.join("x.conf")).env_clear().output().unwrap()
}

#[test]
fn check_reports_configuration_errors_and_prints_effective_values() {
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
    for (index, (conf, mode, fault)) in cases.iter().enumerate() {
        let rejected = check(conf, *mode, &format!("bad-{index}"));
        let text = String::from_utf8(rejected.stderr).unwrap();
        assert_eq!(rejected.status.code(), Some(2), "{text}");
        assert!(text.contains(fault), "{text}");
    }
}

#[test]
fn the_documentation_lists_every_log_event() {
    let page =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/on-call.md")).unwrap();
    for name in quillpoint_router::events::NAMES {
        assert!(page.contains(&format!("`{name}`")), "docs/on-call.md does not describe the event {name}");
    }
}
