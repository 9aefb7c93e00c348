//! What a process took of the machine. One test alone stands here: threads of others that end would take their time with
//! them.

use std::hint::black_box;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use quillpoint_testbed::process::cpu_time;

/// Works until the system has counted so much for this thread.
fn work(span: Duration) {
    let counted = || {
        let told = std::fs::read_to_string("/proc/thread-self/schedstat").expect("the system tells");
        Duration::from_nanos(
            told.split_whitespace().next().and_then(|word| word.parse().ok()).expect("a number"),
        )
    };
    let until = counted() + span;
    while counted() < until {
        black_box((0..10_000u64).fold(0, |sum, one| black_box(sum ^ one)));
    }
}

/// What is far below the ticks of 10 ms is seen, of all threads, also of those that stand still by now.
#[test]
fn processor_time_is_counted_finely_and_of_all_threads() {
    const EACH: Duration = Duration::from_millis(3);
    const THREADS: usize = 3;
    let own = || cpu_time(std::process::id()).expect("the system tells");
    let (worked, looked_at) = (Barrier::new(THREADS + 1), Barrier::new(THREADS + 1));
    let before = own();
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                work(EACH);
                worked.wait();
                looked_at.wait();
            });
        }
        worked.wait();
        let after = own();
        looked_at.wait();
        assert!(after - before >= EACH * THREADS as u32, "{before:?} {after:?}");
        assert!([before, after].iter().any(|time| time.as_nanos() % 10_000_000 != 0), "{before:?} {after:?}");
    });
    assert_eq!(cpu_time(u32::MAX), None);
}
