//! Sizes that do not fit the machine are rejected before anything is started, with an error that says what
//! was asked for, what is available, and the largest size that fits.

use quillpoint_testbed::record::{Mode, Sizes};
use quillpoint_testbed::scale::sizes::{
    Machine, SizeError, check, dedicated_processes, default_sizes, hollow_processes, requirements, with_real,
};
use quillpoint_testbed::scale::suites;

const LARGE_MACHINE: Machine = Machine { descriptors: 20_000, processes: 300, memory: 12 << 30 };

/// The size that was rejected, its value, and the largest value that fits.
fn too_large(sizes: &Sizes, machine: &Machine) -> (&'static str, usize, usize) {
    match check(sizes, machine) {
        Err(SizeError::TooLarge { what, asked, largest, .. }) => (what, asked, largest),
        other => panic!("expected SizeError::TooLarge, found {other:?}"),
    }
}

#[test]
fn default_sizes_and_suites_fit_a_large_machine() {
    for sizes in [
        default_sizes(Mode::Shared, 200, 250),
        default_sizes(Mode::Feed, 2000, 2000),
        default_sizes(Mode::Off, 16, 250),
    ] {
        assert_eq!(check(&sizes, &LARGE_MACHINE), Ok(()), "{sizes:?}");
    }
    for run in suites::short(1).into_iter().chain(suites::long(1)) {
        assert_eq!(check(&run.sizes, &LARGE_MACHINE), Ok(()), "{:?}", run.sizes);
    }
}

/// Guards against estimates that leave out the baseline routers: for each real router there is one without a
/// control side, which needs as much and has as many clients.
#[test]
fn baseline_routers_count_towards_the_requirements() {
    let feed = default_sizes(Mode::Feed, 50, 250);
    let more = |real| requirements(&with_real(feed.clone(), real)).processes;
    assert_eq!(more(12) - more(10), 4);
    let clients =
        |real, connections| requirements(&Sizes { connections, ..with_real(feed.clone(), real) }).descriptors;
    assert!(clients(2, 4000) >= 16_000 && clients(1, 8481) >= 16_962);
    assert!(check(&Sizes { connections: 8481, ..with_real(feed.clone(), 2) }, &LARGE_MACHINE).is_err());
    assert_eq!(requirements(&default_sizes(Mode::Off, 20, 250)).processes, 1 + 20 + 1);
}

#[test]
fn empty_and_invalid_sizes_are_rejected() {
    let too_small = |sizes: Sizes| match check(&sizes, &LARGE_MACHINE) {
        Err(SizeError::TooSmall { what, asked, .. }) => (what, asked),
        other => panic!("expected SizeError::TooSmall, found {other:?}"),
    };
    assert_eq!(too_small(default_sizes(Mode::Shared, 0, 250)), ("routers", "0".to_string()));
    assert_eq!(too_small(default_sizes(Mode::Shared, 10, 0)), ("databases", "0".to_string()));
    assert_eq!(
        too_small(Sizes { seconds: 0.0, ..default_sizes(Mode::Shared, 10, 250) }),
        ("seconds", "0".to_string())
    );
    assert_eq!(too_small(Sizes { seconds: f64::NAN, ..default_sizes(Mode::Shared, 10, 250) }).0, "seconds");
    assert_eq!(
        too_small(Sizes { period_s: -1.0, ..default_sizes(Mode::Shared, 10, 250) }),
        ("period", "-1".to_string())
    );
    assert_eq!(
        too_small(Sizes { control: 0, ..default_sizes(Mode::Feed, 100, 250) }),
        ("control", "0".to_string())
    );
    let lacking = Sizes { hollow_processes: 3, ..default_sizes(Mode::Feed, 100, 250) };
    assert_eq!(too_small(lacking), ("hollow processes", "3".to_string()));
}

#[test]
fn a_shared_fleet_is_limited_to_the_peers_that_a_member_tracks() {
    let asked = check(&default_sizes(Mode::Shared, 251, 250), &LARGE_MACHINE);
    assert_eq!(asked, Err(SizeError::Shared { asked: 251 }));
    let message = asked.expect_err("the size does not fit").to_string();
    assert!(
        message.contains("asked for 251") && message.contains("the largest that fits is 250"),
        "{message}"
    );
    assert_eq!(check(&default_sizes(Mode::Shared, 250, 250), &LARGE_MACHINE), Ok(()));
}

#[test]
fn real_routers_are_a_part_of_all_and_mode_off_has_no_hollow_ones() {
    let more = Sizes { real: 11, ..default_sizes(Mode::Feed, 10, 250) };
    assert_eq!(check(&more, &LARGE_MACHINE), Err(SizeError::Real { real: 11, routers: 10 }));
    let hollow = Sizes { real: 4, ..default_sizes(Mode::Off, 10, 250) };
    assert_eq!(check(&hollow, &LARGE_MACHINE), Err(SizeError::Hollow { hollow: 6 }));
}

/// Guards against an error that names a size that does not fit, or not the largest one: whichever resource is
/// short, the named size must be accepted and the next larger one rejected.
#[test]
fn the_error_names_the_largest_size_that_fits() {
    let feed = default_sizes(Mode::Feed, 7900, 100);
    let short = [
        Machine { descriptors: 1024, ..LARGE_MACHINE },
        Machine { memory: 700 << 20, ..LARGE_MACHINE },
        Machine { processes: 32, ..LARGE_MACHINE },
    ];
    for machine in short {
        let (what, asked, largest) = too_large(&feed, &machine);
        assert!(largest < asked, "{what}");
        let with = |size: usize| match what {
            "routers" => default_sizes(Mode::Feed, size, 100),
            "databases" => Sizes { databases: size, ..feed.clone() },
            "real" => Sizes { real: size, routers: feed.routers - feed.real + size, ..feed.clone() },
            "hollow processes" => Sizes { hollow_processes: size, ..feed.clone() },
            other => panic!("expected a size that this test varies, found {other}"),
        };
        assert!(check(&with(largest), &machine).is_ok(), "{what} {largest} on {machine:?}");
        assert!(check(&with(largest + 1), &machine).is_err(), "{what} {} on {machine:?}", largest + 1);
    }
}

#[test]
fn the_error_names_the_available_resources() {
    let machine = Machine { descriptors: 1024, ..LARGE_MACHINE };
    let message = check(&default_sizes(Mode::Feed, 100, 18_000), &machine)
        .expect_err("the size does not fit")
        .to_string();
    assert!(message.contains("databases: asked for 18000"), "{message}");
    assert!(message.contains("descriptors in a process") && message.contains("there are 1024"), "{message}");
    assert!(message.contains("the largest that fits is"), "{message}");
}

/// Guards against defaults that differ from those of the command's help text, which the suites and the tests
/// here also start from.
#[test]
fn default_sizes_match_the_help_text() {
    for (mode, real, control) in [(Mode::Off, 200, 0), (Mode::Shared, 16, 0), (Mode::Feed, 16, 4)] {
        let sizes = default_sizes(mode, 200, 250);
        assert_eq!((sizes.routers, sizes.databases, sizes.real, sizes.control), (200, 250, real, control));
        assert_eq!((sizes.connections, sizes.statements, sizes.changes), (0, 0.0, 0.0));
        assert_eq!((sizes.period_s, sizes.seed, sizes.seconds), (0.15, 1, 8.0));
        assert_eq!(sizes.hollow_processes, hollow_processes(mode, 200 - real));
    }
    assert_eq!(default_sizes(Mode::Feed, 5, 20).real, 5);
    let fewer = with_real(default_sizes(Mode::Feed, 2000, 250), 3);
    assert_eq!((fewer.real, fewer.hollow_processes), (3, hollow_processes(Mode::Feed, 1997)));
}

#[test]
fn some_hollow_routers_have_a_dedicated_process() {
    assert_eq!([0, 1, 3, 8, 32, 1000].map(dedicated_processes), [0, 1, 1, 2, 8, 8]);
    assert_eq!(hollow_processes(Mode::Feed, 1), 1);
    assert_eq!(hollow_processes(Mode::Feed, 1008), 9);
    assert_eq!(hollow_processes(Mode::Feed, 1009), 10);
    let fewer = requirements(&default_sizes(Mode::Feed, 500, 250));
    let more = requirements(&default_sizes(Mode::Feed, 5000, 250));
    assert!(fewer.memory < more.memory && fewer.processes < more.processes);
}
