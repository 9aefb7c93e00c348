//! The measured CPU time of a process. This file contains a single test: the time of threads that end is
//! lost, and threads of other tests would end while it runs.

use std::hint::black_box;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use quillpoint_testbed::process::cpu_time;

/// Keeps the CPU busy until the kernel has counted this much CPU time for this thread.
fn work(span: Duration) {
    let thread_cpu_time = || {
        let schedstat =
            std::fs::read_to_string("/proc/thread-self/schedstat").expect("schedstat of the thread");
        Duration::from_nanos(
            schedstat
                .split_whitespace()
                .next()
                .and_then(|word| word.parse().ok())
                .expect("nanoseconds in schedstat"),
        )
    };
    let until = thread_cpu_time() + span;
    while thread_cpu_time() < until {
        black_box((0..10_000u64).fold(0, |sum, one| black_box(sum ^ one)));
    }
}

/// Guards against CPU time that is counted in ticks of 10 ms, or for some threads only: the three threads
/// work for 3 ms each, and all of them wait when the time is read.
#[test]
fn cpu_time_covers_all_threads_and_is_finer_than_a_tick() {
    const EACH: Duration = Duration::from_millis(3);
    const THREADS: usize = 3;
    let own_cpu_time = || cpu_time(std::process::id()).expect("the CPU time of this process");
    let (worked, measured) = (Barrier::new(THREADS + 1), Barrier::new(THREADS + 1));
    let before = own_cpu_time();
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                work(EACH);
                worked.wait();
                measured.wait();
            });
        }
        worked.wait();
        let after = own_cpu_time();
        measured.wait();
        assert!(after - before >= EACH * THREADS as u32, "CPU time grew from {before:?} to {after:?}");
        assert!(
            [before, after].iter().any(|time| time.as_nanos() % 10_000_000 != 0),
            "expected CPU times finer than 10 ms, found {before:?} and {after:?}"
        );
    });
    assert_eq!(cpu_time(u32::MAX), None);
}
