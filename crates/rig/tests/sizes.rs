//! Sizes that do not fit are turned away before anything is started, with what was asked, what there is, and the largest
//! that fits.

use quillpoint_rig::record::{Mode, Sizes};
use quillpoint_rig::scale::sizes::{BadSize, Machine, alone, check, hollow_processes, takes};

const ROOMY: Machine = Machine { descriptors: 20_000, processes: 300, memory: 12 << 30 };

fn sizes(mode: Mode, routers: usize, databases: usize) -> Sizes {
    let real = if mode == Mode::Off { routers } else { routers.min(16) };
    Sizes {
        mode,
        routers,
        real,
        hollow_processes: hollow_processes(mode, routers - real),
        control: if mode == Mode::Feed { 4 } else { 0 },
        databases,
        connections: 0,
        statements: 0.0,
        changes: 0.0,
        period_s: 0.15,
        seed: 1,
        seconds: 10.0,
    }
}

/// What was asked for and does not fit, and the largest that does.
fn too_many(sizes: &Sizes, machine: &Machine) -> (&'static str, usize, usize) {
    match check(sizes, machine) {
        Err(BadSize::TooMany { what, asked, largest, .. }) => (what, asked, largest),
        other => panic!("expected too many, found {other:?}"),
    }
}

#[test]
fn the_sizes_of_the_forms_fit() {
    for sizes in [sizes(Mode::Shared, 200, 250), sizes(Mode::Feed, 2000, 2000), sizes(Mode::Off, 16, 250)] {
        assert_eq!(check(&sizes, &ROOMY), Ok(()), "{sizes:?}");
    }
}

#[test]
fn nothing_is_no_size() {
    let none = |sizes: Sizes| match check(&sizes, &ROOMY) {
        Err(BadSize::TooFew { what, asked, .. }) => (what, asked),
        other => panic!("expected too few, found {other:?}"),
    };
    assert_eq!(none(sizes(Mode::Shared, 0, 250)), ("routers", "0".to_string()));
    assert_eq!(none(sizes(Mode::Shared, 10, 0)), ("databases", "0".to_string()));
    assert_eq!(none(Sizes { seconds: 0.0, ..sizes(Mode::Shared, 10, 250) }), ("seconds", "0".to_string()));
    assert_eq!(none(Sizes { seconds: f64::NAN, ..sizes(Mode::Shared, 10, 250) }).0, "seconds");
    assert_eq!(none(Sizes { period_s: -1.0, ..sizes(Mode::Shared, 10, 250) }), ("period", "-1".to_string()));
    assert_eq!(none(Sizes { control: 0, ..sizes(Mode::Feed, 100, 250) }), ("control", "0".to_string()));
    let lacking = Sizes { hollow_processes: 3, ..sizes(Mode::Feed, 100, 250) };
    assert_eq!(none(lacking), ("hollow processes", "3".to_string()));
}

#[test]
fn a_fleet_of_members_has_no_more_than_each_keeps() {
    let asked = check(&sizes(Mode::Shared, 251, 250), &ROOMY);
    assert_eq!(asked, Err(BadSize::Shared { asked: 251 }));
    let told = asked.expect_err("too many").to_string();
    assert!(told.contains("asked for 251") && told.contains("the largest that fits is 250"), "{told}");
    assert_eq!(check(&sizes(Mode::Shared, 250, 250), &ROOMY), Ok(()));
}

#[test]
fn real_ones_are_among_all_and_off_has_no_hollow_ones() {
    let more = Sizes { real: 11, ..sizes(Mode::Feed, 10, 250) };
    assert_eq!(check(&more, &ROOMY), Err(BadSize::Real { real: 11, routers: 10 }));
    let hollow = Sizes { real: 4, ..sizes(Mode::Off, 10, 250) };
    assert_eq!(check(&hollow, &ROOMY), Err(BadSize::Hollow { hollow: 6 }));
}

/// The largest that is named fits, and one more does not, whatever is short.
#[test]
fn the_largest_that_fits_is_named() {
    let feed = sizes(Mode::Feed, 7900, 100);
    let short = [
        Machine { descriptors: 1024, ..ROOMY },
        Machine { memory: 700 << 20, ..ROOMY },
        Machine { processes: 32, ..ROOMY },
    ];
    for machine in short {
        let (what, asked, largest) = too_many(&feed, &machine);
        assert!(largest < asked, "{what}");
        let with = |size: usize| match what {
            "routers" => sizes(Mode::Feed, size, 100),
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
    let told = check(&sizes(Mode::Feed, 100, 18_000), &machine).expect_err("too many").to_string();
    assert!(told.contains("databases: asked for 18000"), "{told}");
    assert!(told.contains("descriptors in a process") && told.contains("there are 1024"), "{told}");
    assert!(told.contains("the largest that fits is"), "{told}");
}

#[test]
fn some_hollow_routers_have_a_process_to_themselves() {
    assert_eq!([0, 1, 3, 8, 32, 1000].map(alone), [0, 1, 1, 2, 8, 8]);
    assert_eq!(hollow_processes(Mode::Feed, 1), 1);
    assert_eq!(hollow_processes(Mode::Feed, 1008), 9);
    assert_eq!(hollow_processes(Mode::Feed, 1009), 10);
    let fewer = takes(&sizes(Mode::Feed, 500, 250));
    let more = takes(&sizes(Mode::Feed, 5000, 250));
    assert!(fewer.memory < more.memory && fewer.processes < more.processes);
}
