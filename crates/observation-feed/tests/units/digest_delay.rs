//! Measurement of the transit delay of digests.

use std::time::Duration;

use quillpoint_observation_feed::digest_delay::DelayBaseline;

use crate::fixtures::ms;

#[test]
fn the_delay_of_a_digest_is_measured_relative_to_the_fastest_digest() {
    let mut baseline = DelayBaseline::default();
    // The clocks are 500 s apart.
    assert_eq!(baseline.record(ms(503_000), ms(3000)), ms(0));
    assert_eq!(baseline.record(ms(503_140), ms(3100)), ms(40) - Duration::from_micros(70));
    assert_eq!(baseline.record(ms(503_195), ms(3200)), ms(0), "the fastest digest so far has no delay");
    assert!(baseline.record(ms(503_300), ms(3300)) > ms(4));
    // A queueing delay that persists for a minute is still not taken for the normal transit time.
    assert!(baseline.record(ms(563_800), ms(63_300)) > ms(450));
}
