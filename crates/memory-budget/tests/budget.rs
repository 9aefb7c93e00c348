//! Which requests for memory are granted and rejected: single cases, and random runs that are compared with
//! an independent count.

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

/// A budget of 100 KiB: 10 are guaranteed to incoming messages, 20 to statements and none to responses, which
/// leaves a pool of 70.
fn budget() -> MemoryBudget {
    let quotas = [
        (Category::IncomingMessages, quota(10, 40)),
        (Category::Statements, quota(20, 100)),
        (Category::Responses, quota(0, 100)),
    ];
    MemoryBudget::new(100 * KIB, &quotas).unwrap()
}

fn rejected(category: Category, limit: ExceededLimit) -> Result<(), BudgetExceeded> {
    Err(BudgetExceeded { category, limit })
}

#[test]
fn a_guarantee_is_available_while_the_whole_pool_is_borrowed() {
    let mut budget = budget();
    assert_eq!(budget.resize(Category::Responses, 0, 70 * KIB), Ok(()));
    assert_eq!(budget.resize(Category::Responses, 0, 1), rejected(Category::Responses, ExceededLimit::Pool));
    assert_eq!(budget.resize(Category::IncomingMessages, 0, 10 * KIB), Ok(()));
    assert_eq!(
        budget.resize(Category::IncomingMessages, 0, 1),
        rejected(Category::IncomingMessages, ExceededLimit::Pool)
    );
    assert_eq!(budget.resize(Category::Statements, 0, 20 * KIB), Ok(()));
    assert_eq!(budget.total_used(), 100 * KIB);
    assert_eq!(budget.rejections(Category::IncomingMessages), Rejections { by_quota: 0, by_pool: 1 });
    // Bytes that one category releases can be borrowed by another.
    budget.resize(Category::Responses, 70 * KIB, 60 * KIB).unwrap();
    assert_eq!(budget.resize(Category::IncomingMessages, 0, 10 * KIB), Ok(()));
}

#[test]
fn a_category_is_rejected_at_its_limit_although_the_pool_has_room() {
    let mut budget = budget();
    assert_eq!(budget.resize(Category::IncomingMessages, 0, 40 * KIB), Ok(()));
    assert_eq!(
        budget.resize(Category::IncomingMessages, 0, 1),
        rejected(Category::IncomingMessages, ExceededLimit::Quota)
    );
    assert_eq!(
        budget.resize(Category::PendingRpcs, 0, 1),
        rejected(Category::PendingRpcs, ExceededLimit::Quota),
        "a category without a quota may use nothing"
    );
    assert_eq!(budget.rejections(Category::IncomingMessages), Rejections { by_quota: 1, by_pool: 0 });
}

#[test]
fn a_rejected_request_changes_no_usage_and_shrinking_is_always_granted() {
    let mut budget = budget();
    budget.resize(Category::Responses, 0, 70 * KIB).unwrap();
    assert!(budget.resize(Category::Responses, 10 * KIB, 11 * KIB).is_err());
    assert_eq!(budget.used(Category::Responses), 70 * KIB);
    assert_eq!(budget.resize(Category::Responses, 70 * KIB, 69 * KIB), Ok(()));
    assert_eq!(budget.peak(Category::Responses), 70 * KIB);
}

#[test]
fn pressure_levels_are_left_at_a_lower_threshold_than_they_are_entered() {
    let mut budget = budget();
    let mut used = 0;
    let mut level_at = |budget: &mut MemoryBudget, percent: u64| {
        budget.resize(Category::Responses, used, percent * 7 * KIB / 10).unwrap();
        used = percent * 7 * KIB / 10;
        budget.level()
    };
    // The percentage of the pool that is borrowed, and the level that follows.
    let steps = [
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
    for (percent, level) in steps {
        assert_eq!(level_at(&mut budget, percent), level, "at {percent}% of the pool");
    }
}

#[test]
fn reclaim_actions_become_active_in_their_order() {
    assert!(
        ReclaimAction::ALL
            .windows(2)
            .all(|pair| pair[0] < pair[1] && pair[0].activation_level() <= pair[1].activation_level())
    );
    let mut budget = budget();
    assert!(ReclaimAction::ALL.iter().all(|action| !budget.is_active(*action)));
    budget.resize(Category::Responses, 0, 60 * KIB).unwrap();
    let active: Vec<ReclaimAction> =
        ReclaimAction::ALL.into_iter().filter(|action| budget.is_active(*action)).collect();
    assert_eq!(active, ReclaimAction::ALL[..5], "expected the actions of level high and below");
}

#[test]
fn invalid_quotas_are_reported_with_their_values() {
    let invalid = quota(10, 5);
    assert_eq!(
        MemoryBudget::new(100 * KIB, &[(Category::IncomingMessages, invalid)]).unwrap_err(),
        QuotaError::GuaranteeExceedsLimit { category: Category::IncomingMessages, quota: invalid }
    );
    let oversubscribed = [(Category::IncomingMessages, quota(60, 60)), (Category::Responses, quota(60, 60))];
    assert_eq!(
        MemoryBudget::new(100 * KIB, &oversubscribed).unwrap_err(),
        QuotaError::Oversubscribed { guaranteed: 120 * KIB, total: 100 * KIB }
    );
}

#[test]
fn a_charge_beyond_the_pool_is_granted_and_makes_others_be_rejected_until_it_is_released() {
    let mut budget = budget();
    budget.charge(Category::ResponseWrites, 0, 90 * KIB);
    assert_eq!((budget.used(Category::ResponseWrites), budget.level()), (90 * KIB, PressureLevel::Critical));
    assert_eq!(budget.resize(Category::Responses, 0, 1), rejected(Category::Responses, ExceededLimit::Pool));
    assert_eq!(
        budget.resize(Category::IncomingMessages, 0, 10 * KIB),
        Ok(()),
        "a guarantee is available regardless of the charge"
    );
    budget.charge(Category::ResponseWrites, 90 * KIB, 0);
    assert_eq!(
        (budget.level(), budget.resize(Category::Responses, 0, 70 * KIB)),
        (PressureLevel::Normal, Ok(()))
    );
}

#[test]
fn a_peer_at_the_minimum_rate_is_not_timed_out_and_one_that_trickles_or_stalls_is() {
    let second = Duration::from_secs(1);
    let rate = MinimumRate { stall_timeout: second * 2, bytes_per_second: 1000 };
    // 1,500 bytes a second for a minute are above the minimum rate, so the deadline is always in the future.
    let mut steady = TransferProgress::new(rate, second);
    for at in 2..60 {
        assert!(steady.deadline(TimeoutScale::Full) > second * at);
        steady.record(second * at, 1500);
    }
    // One byte a second never stalls, but times out for its low rate soon after the grace period.
    let mut trickling = TransferProgress::new(rate, second);
    let timed_out_at = (2..60).find(|at| {
        let timed_out = trickling.deadline(TimeoutScale::Full) <= second * *at;
        trickling.record(second * *at, 1);
        timed_out
    });
    assert_eq!(timed_out_at, Some(4));
    // Without progress, the stall timeout applies. A burst before the stall does not extend it.
    let mut stalled = TransferProgress::new(rate, second);
    assert_eq!(stalled.deadline(TimeoutScale::Full), second * 3);
    stalled.record(second * 2, 1_000_000);
    assert_eq!(stalled.deadline(TimeoutScale::Full), second * 4);
    assert_eq!(
        stalled.deadline(TimeoutScale::Reduced),
        second * 2 + second / 2,
        "expected a shorter timeout while memory is short"
    );
}

#[test]
fn each_category_has_a_name_of_its_own() {
    let names: std::collections::BTreeSet<&str> = Category::ALL.into_iter().map(Category::name).collect();
    assert_eq!(names.len(), Category::ALL.len());
}

/// Creates, grows, shrinks and releases reservations at random. Usage is compared with a plain sum of the
/// reservations, which is independent of guarantees and pool.
fn usage_equals_the_sum_of_reservations(steps: Vec<(u8, u16)>) -> bool {
    let mut budget = budget();
    let categories = [Category::IncomingMessages, Category::Statements, Category::Responses];
    let mut reservations = [[0_u64; 4]; 3];
    for (pick, bytes) in steps {
        let (category, reservation) = (usize::from(pick) % 3, usize::from(pick / 3) % 4);
        let (from, to) = (reservations[category][reservation], u64::from(bytes));
        let before = budget.used(categories[category]);
        match budget.resize(categories[category], from, to) {
            Ok(()) => reservations[category][reservation] = to,
            Err(rejection) => {
                assert!(to > from, "a reservation could not shrink from {from} to {to} bytes");
                assert_eq!(budget.used(categories[category]), before);
                let used: u64 = reservations[category].iter().sum::<u64>() - from + to;
                assert_eq!(
                    rejection.limit == ExceededLimit::Quota,
                    used > budget.quota(categories[category]).limit
                );
            }
        }
        for (index, category) in categories.into_iter().enumerate() {
            let used: u64 = reservations[index].iter().sum();
            assert_eq!(budget.used(category), used);
            assert!(used <= budget.quota(category).limit);
        }
        assert!(budget.total_used() <= 100 * KIB);
        // Whatever the other categories use, each one can reserve the rest of its guarantee.
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
fn no_byte_is_lost_or_counted_twice_in_random_runs() {
    let fixed_seed = Gen::from_size_and_seed(400, 20_262);
    QuickCheck::new()
        .rng(fixed_seed)
        .tests(300)
        .quickcheck(usage_equals_the_sum_of_reservations as fn(Vec<(u8, u16)>) -> bool);
}
