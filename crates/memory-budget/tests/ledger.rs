//! What is admitted and refused, by plain cases and by random runs against books of their own.

use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

use quillpoint_memory_budget::{
    Cause, Faulty, Ledger, Level, Pace, Progress, Purpose, Refused, Relief, Share,
};

const KIB: u64 = 1024;

fn share(own: u64, most: u64) -> Share {
    Share { own: own * KIB, most: most * KIB }
}

/// 100 KiB: 10 of coming's own, 20 of statements' own, none of answers' own; 70 to borrow.
fn ledger() -> Ledger {
    let shares = [
        (Purpose::Coming, share(10, 40)),
        (Purpose::Statements, share(20, 100)),
        (Purpose::Answers, share(0, 100)),
    ];
    Ledger::new(100 * KIB, &shares).unwrap()
}

fn refused(purpose: Purpose, cause: Cause) -> Result<(), Refused> {
    Err(Refused { purpose, cause })
}

#[test]
fn what_is_a_purposes_own_is_there_when_all_else_is_borrowed() {
    let mut ledger = ledger();
    assert_eq!(ledger.change(Purpose::Answers, 0, 70 * KIB), Ok(()));
    assert_eq!(ledger.change(Purpose::Answers, 0, 1), refused(Purpose::Answers, Cause::Pool));
    assert_eq!(ledger.change(Purpose::Coming, 0, 10 * KIB), Ok(()));
    assert_eq!(ledger.change(Purpose::Coming, 0, 1), refused(Purpose::Coming, Cause::Pool));
    assert_eq!(ledger.change(Purpose::Statements, 0, 20 * KIB), Ok(()));
    assert_eq!(ledger.total_used(), 100 * KIB);
    assert_eq!(ledger.refused(Purpose::Coming), (0, 1));
    // What is given back can be borrowed by another.
    ledger.change(Purpose::Answers, 70 * KIB, 60 * KIB).unwrap();
    assert_eq!(ledger.change(Purpose::Coming, 0, 10 * KIB), Ok(()));
}

#[test]
fn a_cap_holds_though_there_is_more_to_borrow() {
    let mut ledger = ledger();
    assert_eq!(ledger.change(Purpose::Coming, 0, 40 * KIB), Ok(()));
    assert_eq!(ledger.change(Purpose::Coming, 0, 1), refused(Purpose::Coming, Cause::Cap));
    assert_eq!(
        ledger.change(Purpose::Queued, 0, 1),
        refused(Purpose::Queued, Cause::Cap),
        "it has no account"
    );
    assert_eq!(ledger.refused(Purpose::Coming), (1, 0));
}

#[test]
fn a_refusal_changes_nothing_and_less_is_always_taken() {
    let mut ledger = ledger();
    ledger.change(Purpose::Answers, 0, 70 * KIB).unwrap();
    assert!(ledger.change(Purpose::Answers, 10 * KIB, 11 * KIB).is_err());
    assert_eq!(ledger.used(Purpose::Answers), 70 * KIB);
    assert_eq!(ledger.change(Purpose::Answers, 70 * KIB, 69 * KIB), Ok(()));
    assert_eq!(ledger.high(Purpose::Answers), 70 * KIB);
}

#[test]
fn levels_are_entered_in_order_and_left_later_than_entered() {
    let mut ledger = ledger();
    let mut held = 0;
    let mut at = |ledger: &mut Ledger, to: u64| {
        ledger.change(Purpose::Answers, held, to * 7 * KIB / 10).unwrap();
        held = to * 7 * KIB / 10;
        ledger.level()
    };
    // Percent of the pool, and the level then.
    let way = [
        (59, Level::Calm),
        (61, Level::Tight),
        (51, Level::Tight),
        (49, Level::Calm),
        (81, Level::Short),
        (71, Level::Short),
        (69, Level::Tight),
        (96, Level::Full),
        (86, Level::Full),
        (84, Level::Short),
        (0, Level::Calm),
    ];
    for (percent, level) in way {
        assert_eq!(at(&mut ledger, percent), level, "{percent}");
    }
}

#[test]
fn what_gives_way_does_so_in_its_order() {
    assert!(Relief::ALL.windows(2).all(|pair| pair[0] < pair[1] && pair[0].from() <= pair[1].from()));
    let mut ledger = ledger();
    assert!(Relief::ALL.iter().all(|relief| !ledger.calls_for(*relief)));
    ledger.change(Purpose::Answers, 0, 60 * KIB).unwrap();
    let asked: Vec<Relief> = Relief::ALL.into_iter().filter(|relief| ledger.calls_for(*relief)).collect();
    assert_eq!(asked, Relief::ALL[..5], "short, and not full");
}

#[test]
fn shares_that_contradict_themselves_are_named() {
    let crossed = share(10, 5);
    assert_eq!(
        Ledger::new(100 * KIB, &[(Purpose::Coming, crossed)]).unwrap_err(),
        Faulty::Crossed(Purpose::Coming, crossed)
    );
    let two = [(Purpose::Coming, share(60, 60)), (Purpose::Answers, share(60, 60))];
    assert_eq!(
        Ledger::new(100 * KIB, &two).unwrap_err(),
        Faulty::Oversold { own: 120 * KIB, total: 100 * KIB }
    );
}

#[test]
fn what_must_go_on_is_charged_and_others_are_refused_for_it() {
    let mut ledger = ledger();
    ledger.charge(Purpose::Writes, 0, 90 * KIB);
    assert_eq!((ledger.used(Purpose::Writes), ledger.level()), (90 * KIB, Level::Full));
    assert_eq!(ledger.change(Purpose::Answers, 0, 1), refused(Purpose::Answers, Cause::Pool));
    assert_eq!(ledger.change(Purpose::Coming, 0, 10 * KIB), Ok(()), "what is its own is there all the same");
    ledger.charge(Purpose::Writes, 90 * KIB, 0);
    assert_eq!((ledger.level(), ledger.change(Purpose::Answers, 0, 70 * KIB)), (Level::Calm, Ok(())));
}

#[test]
fn a_peer_that_keeps_its_pace_is_waited_for_and_one_that_dribbles_is_not() {
    let second = Duration::from_secs(1);
    let pace = Pace { still: second * 2, least: 1000 };
    // 1,500 bytes a second for a minute: there is always time left.
    let mut honest = Progress::new(pace, second);
    for at in 2..60 {
        assert!(honest.until(false) > second * at);
        honest.moved(second * at, 1500);
    }
    // One byte a second: moving all the time, it is over soon after what it had to begin with.
    let mut dribbles = Progress::new(pace, second);
    let over = (2..60).find(|at| {
        let over = dribbles.until(false) <= second * *at;
        dribbles.moved(second * *at, 1);
        over
    });
    assert_eq!(over, Some(4));
    // Nothing moves; and no burst earns time to stand still.
    let mut still = Progress::new(pace, second);
    assert_eq!(still.until(false), second * 3);
    still.moved(second * 2, 1_000_000);
    assert_eq!(still.until(false), second * 4);
    assert_eq!(still.until(true), second * 2 + second / 2, "memory is full");
}

#[test]
fn names_are_stable_and_differ() {
    let names: std::collections::BTreeSet<&str> = Purpose::ALL.into_iter().map(Purpose::name).collect();
    assert_eq!(names.len(), Purpose::ALL.len());
}

/// Owners that take, grow, shrink and give back at random; the books are kept beside and know nothing of a pool.
fn any_run(steps: Vec<(u8, u16)>) -> bool {
    let mut ledger = ledger();
    let purposes = [Purpose::Coming, Purpose::Statements, Purpose::Answers];
    let mut owners = [[0_u64; 4]; 3];
    for (pick, bytes) in steps {
        let (purpose, owner) = (usize::from(pick) % 3, usize::from(pick / 3) % 4);
        let (from, to) = (owners[purpose][owner], u64::from(bytes));
        let before = ledger.used(purposes[purpose]);
        match ledger.change(purposes[purpose], from, to) {
            Ok(()) => owners[purpose][owner] = to,
            Err(refused) => {
                assert!(to > from, "less was refused");
                assert_eq!(ledger.used(purposes[purpose]), before);
                let used: u64 = owners[purpose].iter().sum::<u64>() - from + to;
                assert_eq!(refused.cause == Cause::Cap, used > ledger.share(purposes[purpose]).most);
            }
        }
        for (place, purpose) in purposes.into_iter().enumerate() {
            let used: u64 = owners[place].iter().sum();
            assert_eq!(ledger.used(purpose), used);
            assert!(used <= ledger.share(purpose).most);
        }
        assert!(ledger.total_used() <= 100 * KIB);
        // Whatever is held, a purpose may still take all that is its own.
        for purpose in purposes {
            let (used, own) = (ledger.used(purpose), ledger.share(purpose).own);
            if used < own {
                assert_eq!(ledger.clone().change(purpose, 0, own - used), Ok(()));
            }
        }
    }
    true
}

#[test]
fn nothing_is_lost_or_counted_twice_in_random_runs() {
    let fixed = Gen::from_size_and_seed(400, 20_262);
    QuickCheck::new().rng(fixed).tests(300).quickcheck(any_run as fn(Vec<(u8, u16)>) -> bool);
}
