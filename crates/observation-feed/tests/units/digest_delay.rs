//! How late a digest is.

use std::time::Duration;

use quillpoint_observation_feed::digest_delay::DelayBaseline;

use crate::fixtures::ms;

#[test]
fn a_digest_is_as_late_as_it_takes_longer_than_the_quickest() {
    let mut baseline = DelayBaseline::default();
    // The clocks are 500 s apart.
    assert_eq!(baseline.record(ms(503_000), ms(3000)), ms(0));
    assert_eq!(baseline.record(ms(503_140), ms(3100)), ms(40) - Duration::from_micros(70));
    assert_eq!(baseline.record(ms(503_195), ms(3200)), ms(0), "the shortest so far");
    assert!(baseline.record(ms(503_300), ms(3300)) > ms(4));
    // A queue that stays does not pass for the way itself, for minutes.
    assert!(baseline.record(ms(563_800), ms(63_300)) > ms(450));
}
