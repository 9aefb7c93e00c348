//! Sizes that do not fit are turned away before anything is started, with what was asked, what there is, and the largest
//! that fits.

use quillpoint_testbed::record::{Mode, Sizes};
use quillpoint_testbed::scale::forms;
use quillpoint_testbed::scale::sizes::{
    BadSize, Machine, alone, check, hollow_processes, takes, usual, with_real,
};

const ROOMY: Machine = Machine { descriptors: 20_000, processes: 300, memory: 12 << 30 };

/// What was asked for and does not fit, and the largest that does.
fn too_many(sizes: &Sizes, machine: &Machine) -> (&'static str, usize, usize) {
    match check(sizes, machine) {
        Err(BadSize::TooMany { what, asked, largest, .. }) => (what, asked, largest),
        other => panic!("expected too many, found {other:?}"),
    }
}

#[test]
fn the_sizes_of_the_forms_fit() {
    for sizes in [usual(Mode::Shared, 200, 250), usual(Mode::Feed, 2000, 2000), usual(Mode::Off, 16, 250)] {
        assert_eq!(check(&sizes, &ROOMY), Ok(()), "{sizes:?}");
    }
    for play in forms::short(1).into_iter().chain(forms::long(1)) {
        assert_eq!(check(&play.sizes, &ROOMY), Ok(()), "{:?}", play.sizes);
    }
}

/// Beside each real router stands one without control, which takes as much and has as many clients.
#[test]
fn routers_without_control_are_reckoned_in() {
    let feed = usual(Mode::Feed, 50, 250);
    let more = |real| takes(&with_real(feed.clone(), real)).processes;
    assert_eq!(more(12) - more(10), 4);
    let clients =
        |real, connections| takes(&Sizes { connections, ..with_real(feed.clone(), real) }).descriptors;
    assert!(clients(2, 4000) >= 16_000 && clients(1, 8481) >= 16_962);
    assert!(check(&Sizes { connections: 8481, ..with_real(feed.clone(), 2) }, &ROOMY).is_err());
    assert_eq!(takes(&usual(Mode::Off, 20, 250)).processes, 1 + 20 + 1);
}

#[test]
fn nothing_is_no_size() {
    let none = |sizes: Sizes| match check(&sizes, &ROOMY) {
        Err(BadSize::TooFew { what, asked, .. }) => (what, asked),
        other => panic!("expected too few, found {other:?}"),
    };
    assert_eq!(none(usual(Mode::Shared, 0, 250)), ("routers", "0".to_string()));
    assert_eq!(none(usual(Mode::Shared, 10, 0)), ("databases", "0".to_string()));
    assert_eq!(none(Sizes { seconds: 0.0, ..usual(Mode::Shared, 10, 250) }), ("seconds", "0".to_string()));
    assert_eq!(none(Sizes { seconds: f64::NAN, ..usual(Mode::Shared, 10, 250) }).0, "seconds");
    assert_eq!(none(Sizes { period_s: -1.0, ..usual(Mode::Shared, 10, 250) }), ("period", "-1".to_string()));
    assert_eq!(none(Sizes { control: 0, ..usual(Mode::Feed, 100, 250) }), ("control", "0".to_string()));
    let lacking = Sizes { hollow_processes: 3, ..usual(Mode::Feed, 100, 250) };
    assert_eq!(none(lacking), ("hollow processes", "3".to_string()));
}

#[test]
fn a_fleet_of_members_has_no_more_than_each_keeps() {
    let asked = check(&usual(Mode::Shared, 251, 250), &ROOMY);
    assert_eq!(asked, Err(BadSize::Shared { asked: 251 }));
    let told = asked.expect_err("too many").to_string();
    assert!(told.contains("asked for 251") && told.contains("the largest that fits is 250"), "{told}");
    assert_eq!(check(&usual(Mode::Shared, 250, 250), &ROOMY), Ok(()));
}

#[test]
fn real_ones_are_among_all_and_off_has_no_hollow_ones() {
    let more = Sizes { real: 11, ..usual(Mode::Feed, 10, 250) };
    assert_eq!(check(&more, &ROOMY), Err(BadSize::Real { real: 11, routers: 10 }));
    let hollow = Sizes { real: 4, ..usual(Mode::Off, 10, 250) };
    assert_eq!(check(&hollow, &ROOMY), Err(BadSize::Hollow { hollow: 6 }));
}

/// The largest that is named fits, and one more does not, whatever is short.
#[test]
fn the_largest_that_fits_is_named() {
    let feed = usual(Mode::Feed, 7900, 100);
    let short = [
        Machine { descriptors: 1024, ..ROOMY },
        Machine { memory: 700 << 20, ..ROOMY },
        Machine { processes: 32, ..ROOMY },
    ];
    for machine in short {
        let (what, asked, largest) = too_many(&feed, &machine);
        assert!(largest < asked, "{what}");
        let with = |size: usize| match what {
            "routers" => usual(Mode::Feed, size, 100),
            "databases" => Sizes { databases: size, ..feed.clone() },
            "real" => Sizes { real: size, routers: feed.routers - feed.real + size, ..feed.clone() },
            "hollow processes" => Sizes { hollow_processes: size, ..feed.clone() },
            other => panic!("{other}"),
        };
        assert!(check(&with(largest), &machine).is_ok(), "{what} {largest} on {machine:?}");
        assert!(check(&with(largest + 1), &machine).is_err(), "{what} {} on {machine:?}", largest + 1);
    }
}

#[test]
fn an_error_says_what_there_is() {
    let machine = Machine { descriptors: 1024, ..ROOMY };
    let told = check(&usual(Mode::Feed, 100, 18_000), &machine).expect_err("too many").to_string();
    assert!(told.contains("databases: asked for 18000"), "{told}");
    assert!(told.contains("descriptors in a process") && told.contains("there are 1024"), "{told}");
    assert!(told.contains("the largest that fits is"), "{told}");
}

/// What a run has where nothing else is said, which the command, the forms and the tests here all begin from.
#[test]
fn the_usual_run_is_as_the_command_says() {
    for (mode, real, control) in [(Mode::Off, 200, 0), (Mode::Shared, 16, 0), (Mode::Feed, 16, 4)] {
        let sizes = usual(mode, 200, 250);
        assert_eq!((sizes.routers, sizes.databases, sizes.real, sizes.control), (200, 250, real, control));
        assert_eq!((sizes.connections, sizes.statements, sizes.changes), (0, 0.0, 0.0));
        assert_eq!((sizes.period_s, sizes.seed, sizes.seconds), (0.15, 1, 8.0));
        assert_eq!(sizes.hollow_processes, hollow_processes(mode, 200 - real));
    }
    assert_eq!(usual(Mode::Feed, 5, 20).real, 5);
    let fewer = with_real(usual(Mode::Feed, 2000, 250), 3);
    assert_eq!((fewer.real, fewer.hollow_processes), (3, hollow_processes(Mode::Feed, 1997)));
}

#[test]
fn some_hollow_routers_have_a_process_to_themselves() {
    assert_eq!([0, 1, 3, 8, 32, 1000].map(alone), [0, 1, 1, 2, 8, 8]);
    assert_eq!(hollow_processes(Mode::Feed, 1), 1);
    assert_eq!(hollow_processes(Mode::Feed, 1008), 9);
    assert_eq!(hollow_processes(Mode::Feed, 1009), 10);
    let fewer = takes(&usual(Mode::Feed, 500, 250));
    let more = takes(&usual(Mode::Feed, 5000, 250));
    assert!(fewer.memory < more.memory && fewer.processes < more.processes);
}
