//! The work that one input causes must be linear in its bytes, whoever sends it. These tests measure the
//! processor time of this thread for inputs whose sizes double, so that neither other processes nor waits
//! count.

use std::time::Duration;

use quillpoint_router::statement::Statement;
use rustix::time::{ClockId, clock_gettime};

/// How often the size of an input is doubled.
const DOUBLINGS: u32 = 3;
/// The largest growth of the work over all doublings. Linear work grows 8-fold and quadratic work 64-fold; the
/// bound is the geometric mean.
const MAX_GROWTH: f64 = 22.6;
/// Each size is measured this often; the shortest time counts.
const MEASUREMENTS: usize = 7;
/// The longest that one statement may keep the router from other work: a fraction of the shortest deadline
/// that clients state (some 100 ms).
const MAX_STATEMENT_TIME: Duration = Duration::from_millis(10);

/// The processor time that `work` takes in this thread: the shortest of several measurements.
fn processor_time<T>(mut work: impl FnMut() -> T) -> Duration {
    let now = || Duration::try_from(clock_gettime(ClockId::ThreadCPUTime)).unwrap();
    let measure = |_| {
        let started = now();
        std::hint::black_box(work());
        now() - started
    };
    (0..MEASUREMENTS).map(measure).min().unwrap()
}

/// Checks that the work on an input grows linearly with its size. `prepare` makes the input of a size.
fn assert_linear<I, T>(
    name: &str,
    smallest: usize,
    prepare: impl Fn(usize) -> I,
    work: impl Fn(&I) -> T,
) -> Duration {
    let sizes = (0..=DOUBLINGS).map(|doubling| smallest << doubling);
    let times: Vec<Duration> = sizes
        .map(|size| {
            let input = prepare(size);
            processor_time(|| work(&input))
        })
        .collect();
    let growth = times[times.len() - 1].as_secs_f64() / times[0].as_secs_f64();
    println!("{name}: from {smallest}, doubled {DOUBLINGS} times: {times:.1?}, growth {growth:.1}");
    assert!(growth < MAX_GROWTH, "{name}: the work grows {growth:.1}-fold: {times:?}");
    times[times.len() - 1]
}

/// Guards against a statement whose end was searched again at each of its semicolons, so that one of 130,000
/// bytes kept the router from all other work for seconds.
#[test]
fn parsing_a_statement_is_linear_in_its_length() {
    const SMALLEST: usize = 16 * 1024;
    let repeated = |before: &'static str, part: &'static str, after: &'static str| {
        move |size: usize| {
            let parts = part.repeat((size - before.len() - after.len()) / part.len());
            format!("{before}{parts}{after}").into_bytes()
        }
    };
    let in_sql = |part, after| {
        let before = "/* id=9b1f03aa,c=look,d=500,cluster=0 */ SELECT 1 ";
        (part, repeated(before, part, after))
    };
    let in_comment = |part, after| (part, repeated("/* id=9b1f03aa,d=500,cluster=0,", part, after));
    let in_head = |part| (part, repeated("", part, ""));
    for (part, prepare) in [
        in_sql(";", ""),
        in_sql(" ;", ""),
        in_sql(";", "x"),
        in_sql("'';", ""),
        in_sql("''", ""),
        in_sql("\"\"", ""),
        in_sql("'", "\""),
        in_sql("/**/", ""),
        in_sql("/*", ""),
        in_sql("/", ""),
        in_sql("--\n", ""),
        in_sql("--", ""),
        in_sql("-", ""),
        in_sql("x", ""),
    ] {
        let time = assert_linear(&format!("SQL of {part:?}"), SMALLEST, prepare, |text| parse(text));
        assert!(time < MAX_STATEMENT_TIME, "SQL of {part:?} takes {time:?}");
    }
    for (part, prepare) in [
        in_comment(",", "*/SELECT 1"),
        in_comment("=", "*/SELECT 1"),
        in_comment("x=1,", "*/SELECT 1"),
        in_comment("*", "*/SELECT 1"),
        in_comment("/", "*/SELECT 1"),
        in_comment("*", ""),
        in_head(" "),
        in_head("\u{1}"),
        in_head("/*"),
    ] {
        let time = assert_linear(&format!("comment of {part:?}"), SMALLEST, prepare, |text| parse(text));
        assert!(time < MAX_STATEMENT_TIME, "comment of {part:?} takes {time:?}");
    }
    for field in ["id", "c", "d", "cluster", "after", "r"] {
        for digit in ["1", "\u{1}"] {
            let prepare = |size| {
                let others = ["id=9b1f03aa", "c=look", "d=500", "cluster=0"];
                let others: Vec<&str> =
                    others.into_iter().filter(|other| !other.starts_with(&format!("{field}="))).collect();
                format!("/* {},{field}={} */ SELECT 1", others.join(","), digit.repeat(size)).into_bytes()
            };
            let time =
                assert_linear(&format!("field {field} of {digit:?}"), SMALLEST, prepare, |text| parse(text));
            assert!(time < MAX_STATEMENT_TIME, "field {field} of {digit:?} takes {time:?}");
        }
    }
}

/// Parses a statement. An error counts with its text, which is sent to the client.
fn parse(text: &[u8]) -> Result<Statement, String> {
    Statement::parse(text.to_vec()).map_err(|error| error.to_string())
}
