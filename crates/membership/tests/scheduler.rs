//! The order of background jobs, and the budget that spreads them out.

use std::time::Duration;

use quillpoint_membership::scheduler::{Priority, Scheduler};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn jobs_run_by_priority_and_then_by_how_long_they_have_been_due() {
    let mut scheduler = Scheduler::new(1000.0, 1000.0, ms(0));
    for (job, due, priority) in [(1, 30, 1), (2, 10, 1), (3, 40, 0), (4, 500, 0)] {
        scheduler.schedule(job, ms(due), Priority(priority), 1.0);
    }
    assert_eq!(scheduler.pop(ms(5)), None, "none is due");
    let order: Vec<i32> = std::iter::from_fn(|| scheduler.pop(ms(100))).collect();
    assert_eq!(order, [3, 2, 1]);
    assert_eq!(scheduler.len(), 1);
    // Scheduled again while it was ready, it waits for its new time.
    scheduler.schedule(5, ms(100), Priority(0), 1.0);
    scheduler.schedule(5, ms(900), Priority(0), 1.0);
    assert_eq!(scheduler.pop(ms(200)), None);
}

#[test]
fn the_budget_spreads_out_what_is_due_at_once() {
    // Eight units a second, two saved up: of jobs that are all due, two run at once and then one each 125 ms.
    let mut scheduler = Scheduler::new(8.0, 2.0, ms(0));
    (0..10).for_each(|job| scheduler.schedule(job, ms(0), Priority(0), 1.0));
    let mut times = Vec::new();
    for at in (0..2000).step_by(125) {
        times.extend(std::iter::from_fn(|| scheduler.pop(ms(at))).map(|_| at));
    }
    assert_eq!(times, [0, 0, 125, 250, 375, 500, 625, 750, 875, 1000]);
    // One that costs more than can be saved up runs when the budget is full.
    scheduler.schedule(99, ms(0), Priority(0), 50.0);
    assert_eq!(scheduler.pop(ms(5000)), Some(99));
    assert!(scheduler.is_empty());
}

#[test]
fn a_job_that_its_owner_has_postponed_waits_for_its_new_time() {
    let mut scheduler = Scheduler::new(1000.0, 1.0, ms(0));
    (1..=3).for_each(|job| scheduler.schedule(job, ms(100), Priority(0), 1.0));
    let postponed = |until: &[u64]| {
        let until: Vec<Duration> = until.iter().map(|at| ms(*at)).collect();
        move |job: i32| Some(until[job as usize - 1])
    };
    // The first was postponed before its time came up, the third while it waited for the budget.
    assert_eq!(scheduler.pop_unless_postponed(ms(100), postponed(&[300, 100, 100])), Some(2));
    assert_eq!(
        scheduler.pop_unless_postponed(ms(100), postponed(&[300, 100, 100])),
        None,
        "nothing is left to spend"
    );
    assert_eq!(scheduler.pop_unless_postponed(ms(200), postponed(&[300, 100, 250])), None);
    assert_eq!(scheduler.pop_unless_postponed(ms(260), postponed(&[300, 100, 250])), Some(3));
    assert_eq!(scheduler.pop_unless_postponed(ms(299), postponed(&[300, 100, 250])), None);
    assert_eq!(scheduler.pop_unless_postponed(ms(300), postponed(&[300, 100, 250])), Some(1));
    assert!(scheduler.is_empty());
    // An earlier time than it was scheduled for changes nothing.
    scheduler.schedule(1, ms(900), Priority(0), 1.0);
    assert_eq!(scheduler.pop_unless_postponed(ms(800), postponed(&[400, 0, 0])), None);
    assert_eq!(scheduler.pop_unless_postponed(ms(900), postponed(&[400, 0, 0])), Some(1));
}

#[test]
fn a_budget_that_is_changed_holds_from_then_on() {
    let mut scheduler = Scheduler::new(8.0, 2.0, ms(0));
    (0..40).for_each(|job| scheduler.schedule(job, ms(0), Priority(0), 1.0));
    let count = |scheduler: &mut Scheduler<i32>, at| std::iter::from_fn(|| scheduler.pop(ms(at))).count();
    assert_eq!(count(&mut scheduler, 0), 2);
    scheduler.set_budget(80.0, 20.0);
    assert_eq!((count(&mut scheduler, 100), count(&mut scheduler, 350)), (8, 20));
    scheduler.set_budget(8.0, 2.0);
    assert_eq!(count(&mut scheduler, 9000), 2);
}
