//! What is admitted and refused, by plain cases and by random runs against an independent count.

use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

use quillpoint_memory_budget::{
    BudgetExceeded, Category, ExceededLimit, MemoryBudget, MinimumRate, PressureLevel, Quota, QuotaError,
    ReclaimAction, Rejections, TimeoutScale, TransferProgress,
};

const KIB: u64 = 1024;

fn quota(guaranteed: u64, limit: u64) -> Quota {
    Quota { guaranteed: guaranteed * KIB, limit: limit * KIB }
}

/// 100 KiB: 10 guaranteed to incoming messages, 20 to statements, none to responses; 70 to borrow.
fn budget() -> MemoryBudget {
    let quotas = [
        (Category::IncomingMessages, quota(10, 40)),
        (Category::Statements, quota(20, 100)),
        (Category::Responses, quota(0, 100)),
    ];
    MemoryBudget::new(100 * KIB, &quotas).unwrap()
}

fn refused(category: Category, limit: ExceededLimit) -> Result<(), BudgetExceeded> {
    Err(BudgetExceeded { category, limit })
}

#[test]
fn what_is_guaranteed_is_there_when_all_else_is_borrowed() {
    let mut budget = budget();
    assert_eq!(budget.resize(Category::Responses, 0, 70 * KIB), Ok(()));
    assert_eq!(budget.resize(Category::Responses, 0, 1), refused(Category::Responses, ExceededLimit::Pool));
    assert_eq!(budget.resize(Category::IncomingMessages, 0, 10 * KIB), Ok(()));
    assert_eq!(
        budget.resize(Category::IncomingMessages, 0, 1),
        refused(Category::IncomingMessages, ExceededLimit::Pool)
    );
    assert_eq!(budget.resize(Category::Statements, 0, 20 * KIB), Ok(()));
    assert_eq!(budget.total_used(), 100 * KIB);
    assert_eq!(budget.rejections(Category::IncomingMessages), Rejections { by_quota: 0, by_pool: 1 });
    // What is given back can be borrowed by another.
    budget.resize(Category::Responses, 70 * KIB, 60 * KIB).unwrap();
    assert_eq!(budget.resize(Category::IncomingMessages, 0, 10 * KIB), Ok(()));
}

#[test]
fn a_limit_holds_though_there_is_more_to_borrow() {
    let mut budget = budget();
    assert_eq!(budget.resize(Category::IncomingMessages, 0, 40 * KIB), Ok(()));
    assert_eq!(
        budget.resize(Category::IncomingMessages, 0, 1),
        refused(Category::IncomingMessages, ExceededLimit::Quota)
    );
    assert_eq!(
        budget.resize(Category::PendingRpcs, 0, 1),
        refused(Category::PendingRpcs, ExceededLimit::Quota),
        "it has no quota"
    );
    assert_eq!(budget.rejections(Category::IncomingMessages), Rejections { by_quota: 1, by_pool: 0 });
}

#[test]
fn a_refusal_changes_nothing_and_less_is_always_taken() {
    let mut budget = budget();
    budget.resize(Category::Responses, 0, 70 * KIB).unwrap();
    assert!(budget.resize(Category::Responses, 10 * KIB, 11 * KIB).is_err());
    assert_eq!(budget.used(Category::Responses), 70 * KIB);
    assert_eq!(budget.resize(Category::Responses, 70 * KIB, 69 * KIB), Ok(()));
    assert_eq!(budget.peak(Category::Responses), 70 * KIB);
}

#[test]
fn levels_are_entered_in_order_and_left_later_than_entered() {
    let mut budget = budget();
    let mut held = 0;
    let mut at = |budget: &mut MemoryBudget, to: u64| {
        budget.resize(Category::Responses, held, to * 7 * KIB / 10).unwrap();
        held = to * 7 * KIB / 10;
        budget.level()
    };
    // Percent of the pool, and the level then.
    let way = [
        (59, PressureLevel::Normal),
        (61, PressureLevel::Elevated),
        (51, PressureLevel::Elevated),
        (49, PressureLevel::Normal),
        (81, PressureLevel::High),
        (71, PressureLevel::High),
        (69, PressureLevel::Elevated),
        (96, PressureLevel::Critical),
        (86, PressureLevel::Critical),
        (84, PressureLevel::High),
        (0, PressureLevel::Normal),
    ];
    for (percent, level) in way {
        assert_eq!(at(&mut budget, percent), level, "{percent}");
    }
}

#[test]
fn reclaim_actions_begin_in_their_order() {
    assert!(
        ReclaimAction::ALL
            .windows(2)
            .all(|pair| pair[0] < pair[1] && pair[0].activation_level() <= pair[1].activation_level())
    );
    let mut budget = budget();
    assert!(ReclaimAction::ALL.iter().all(|action| !budget.is_active(*action)));
    budget.resize(Category::Responses, 0, 60 * KIB).unwrap();
    let asked: Vec<ReclaimAction> =
        ReclaimAction::ALL.into_iter().filter(|action| budget.is_active(*action)).collect();
    assert_eq!(asked, ReclaimAction::ALL[..5], "high, and not critical");
}

#[test]
fn quotas_that_contradict_themselves_are_named() {
    let crossed = quota(10, 5);
    assert_eq!(
        MemoryBudget::new(100 * KIB, &[(Category::IncomingMessages, crossed)]).unwrap_err(),
        QuotaError::GuaranteeExceedsLimit { category: Category::IncomingMessages, quota: crossed }
    );
    let two = [(Category::IncomingMessages, quota(60, 60)), (Category::Responses, quota(60, 60))];
    assert_eq!(
        MemoryBudget::new(100 * KIB, &two).unwrap_err(),
        QuotaError::Oversubscribed { guaranteed: 120 * KIB, total: 100 * KIB }
    );
}

#[test]
fn what_must_go_on_is_charged_and_others_are_refused_for_it() {
    let mut budget = budget();
    budget.charge(Category::ResponseWrites, 0, 90 * KIB);
    assert_eq!((budget.used(Category::ResponseWrites), budget.level()), (90 * KIB, PressureLevel::Critical));
    assert_eq!(budget.resize(Category::Responses, 0, 1), refused(Category::Responses, ExceededLimit::Pool));
    assert_eq!(
        budget.resize(Category::IncomingMessages, 0, 10 * KIB),
        Ok(()),
        "what is guaranteed is there all the same"
    );
    budget.charge(Category::ResponseWrites, 90 * KIB, 0);
    assert_eq!(
        (budget.level(), budget.resize(Category::Responses, 0, 70 * KIB)),
        (PressureLevel::Normal, Ok(()))
    );
}

#[test]
fn a_peer_that_keeps_the_minimum_rate_is_waited_for_and_one_that_trickles_is_not() {
    let second = Duration::from_secs(1);
    let rate = MinimumRate { stall_timeout: second * 2, bytes_per_second: 1000 };
    // 1,500 bytes a second for a minute: there is always time left.
    let mut honest = TransferProgress::new(rate, second);
    for at in 2..60 {
        assert!(honest.deadline(TimeoutScale::Full) > second * at);
        honest.record(second * at, 1500);
    }
    // One byte a second: moving all the time, it is over soon after what it had to begin with.
    let mut trickles = TransferProgress::new(rate, second);
    let over = (2..60).find(|at| {
        let over = trickles.deadline(TimeoutScale::Full) <= second * *at;
        trickles.record(second * *at, 1);
        over
    });
    assert_eq!(over, Some(4));
    // Nothing moves; and no burst earns time to stand still.
    let mut stalls = TransferProgress::new(rate, second);
    assert_eq!(stalls.deadline(TimeoutScale::Full), second * 3);
    stalls.record(second * 2, 1_000_000);
    assert_eq!(stalls.deadline(TimeoutScale::Full), second * 4);
    assert_eq!(stalls.deadline(TimeoutScale::Reduced), second * 2 + second / 2, "memory is full");
}

#[test]
fn names_are_stable_and_differ() {
    let names: std::collections::BTreeSet<&str> = Category::ALL.into_iter().map(Category::name).collect();
    assert_eq!(names.len(), Category::ALL.len());
}

/// Owners that take, grow, shrink and give back at random; an independent count knows nothing of a pool.
fn any_run(steps: Vec<(u8, u16)>) -> bool {
    let mut budget = budget();
    let categories = [Category::IncomingMessages, Category::Statements, Category::Responses];
    let mut owners = [[0_u64; 4]; 3];
    for (pick, bytes) in steps {
        let (category, owner) = (usize::from(pick) % 3, usize::from(pick / 3) % 4);
        let (from, to) = (owners[category][owner], u64::from(bytes));
        let before = budget.used(categories[category]);
        match budget.resize(categories[category], from, to) {
            Ok(()) => owners[category][owner] = to,
            Err(refused) => {
                assert!(to > from, "less was refused");
                assert_eq!(budget.used(categories[category]), before);
                let used: u64 = owners[category].iter().sum::<u64>() - from + to;
                assert_eq!(
                    refused.limit == ExceededLimit::Quota,
                    used > budget.quota(categories[category]).limit
                );
            }
        }
        for (place, category) in categories.into_iter().enumerate() {
            let used: u64 = owners[place].iter().sum();
            assert_eq!(budget.used(category), used);
            assert!(used <= budget.quota(category).limit);
        }
        assert!(budget.total_used() <= 100 * KIB);
        // Whatever is held, a category may still take all that is guaranteed to it.
        for category in categories {
            let (used, guaranteed) = (budget.used(category), budget.quota(category).guaranteed);
            if used < guaranteed {
                assert_eq!(budget.clone().resize(category, 0, guaranteed - used), Ok(()));
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
