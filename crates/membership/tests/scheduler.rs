//! The order in which background jobs run, and the budget that spreads them out.

use std::time::Duration;

use quillpoint_membership::scheduler::{Priority, Scheduler};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a job that waits behind jobs with a lower priority, or behind jobs that became due later.
#[test]
fn jobs_run_by_priority_and_then_by_due_time() {
    let mut scheduler = Scheduler::new(1000.0, 1000.0, ms(0));
    for (job, due, priority) in [(1, 30, 1), (2, 10, 1), (3, 40, 0), (4, 500, 0)] {
        scheduler.schedule(job, ms(due), Priority(priority), 1.0);
    }
    assert_eq!(scheduler.pop(ms(5)), None, "no job is due yet");
    let order: Vec<i32> = std::iter::from_fn(|| scheduler.pop(ms(100))).collect();
    assert_eq!(order, [3, 2, 1]);
    assert_eq!(scheduler.len(), 1);
    // A job that is scheduled again while it is ready waits for its new due time.
    scheduler.schedule(5, ms(100), Priority(0), 1.0);
    scheduler.schedule(5, ms(900), Priority(0), 1.0);
    assert_eq!(scheduler.pop(ms(200)), None);
}

/// Guards against a burst of jobs that are due at the same time, and against a job whose cost exceeds the
/// burst and that would never run.
#[test]
fn the_budget_spreads_out_jobs_that_are_due_at_the_same_time() {
    // With eight units per second and a burst of two, two of the due jobs run immediately, then one every 125
    // ms.
    let mut scheduler = Scheduler::new(8.0, 2.0, ms(0));
    (0..10).for_each(|job| scheduler.schedule(job, ms(0), Priority(0), 1.0));
    let mut times = Vec::new();
    for at in (0..2000).step_by(125) {
        times.extend(std::iter::from_fn(|| scheduler.pop(ms(at))).map(|_| at));
    }
    assert_eq!(times, [0, 0, 125, 250, 375, 500, 625, 750, 875, 1000]);
    // A job that costs more than the burst runs when the token bucket is full.
    scheduler.schedule(99, ms(0), Priority(0), 50.0);
    assert_eq!(scheduler.pop(ms(5000)), Some(99));
    assert!(scheduler.is_empty());
}

/// Guards against running a job that its owner has postponed without rescheduling it, before it was due or
/// while it waited for the budget.
#[test]
fn a_job_that_its_owner_has_postponed_waits_for_its_new_due_time() {
    let mut scheduler = Scheduler::new(1000.0, 1.0, ms(0));
    (1..=3).for_each(|job| scheduler.schedule(job, ms(100), Priority(0), 1.0));
    let postponed = |until: &[u64]| {
        let until: Vec<Duration> = until.iter().map(|at| ms(*at)).collect();
        move |job: i32| Some(until[job as usize - 1])
    };
    // The first job was postponed before its due time, the third one while it waits for the budget.
    assert_eq!(scheduler.pop_unless_postponed(ms(100), postponed(&[300, 100, 100])), Some(2));
    assert_eq!(
        scheduler.pop_unless_postponed(ms(100), postponed(&[300, 100, 100])),
        None,
        "the budget is used up"
    );
    assert_eq!(scheduler.pop_unless_postponed(ms(200), postponed(&[300, 100, 250])), None);
    assert_eq!(scheduler.pop_unless_postponed(ms(260), postponed(&[300, 100, 250])), Some(3));
    assert_eq!(scheduler.pop_unless_postponed(ms(299), postponed(&[300, 100, 250])), None);
    assert_eq!(scheduler.pop_unless_postponed(ms(300), postponed(&[300, 100, 250])), Some(1));
    assert!(scheduler.is_empty());
    // A job cannot be moved to an earlier time in this way.
    scheduler.schedule(1, ms(900), Priority(0), 1.0);
    assert_eq!(scheduler.pop_unless_postponed(ms(800), postponed(&[400, 0, 0])), None);
    assert_eq!(scheduler.pop_unless_postponed(ms(900), postponed(&[400, 0, 0])), Some(1));
}

/// Guards against a changed budget that does not take effect, and against tokens above the new burst that are
/// kept.
#[test]
fn a_changed_budget_applies_from_then_on() {
    let mut scheduler = Scheduler::new(8.0, 2.0, ms(0));
    (0..40).for_each(|job| scheduler.schedule(job, ms(0), Priority(0), 1.0));
    let count = |scheduler: &mut Scheduler<i32>, at| std::iter::from_fn(|| scheduler.pop(ms(at))).count();
    assert_eq!(count(&mut scheduler, 0), 2);
    scheduler.set_budget(80.0, 20.0);
    assert_eq!((count(&mut scheduler, 100), count(&mut scheduler, 350)), (8, 20));
    scheduler.set_budget(8.0, 2.0);
    assert_eq!(count(&mut scheduler, 9000), 2);
}
