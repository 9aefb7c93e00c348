//! Burst and debt of the token bucket.

use quillpoint_observation_feed::token_bucket::TokenBucket;

use crate::fixtures::ms;

#[test]
fn a_bucket_accumulates_at_most_its_burst_and_pays_off_debt_first() {
    let mut bucket = TokenBucket::new(100.0, 10.0, ms(0));
    assert!(!bucket.has_at_least(ms(0), 1.0), "the bucket is not empty at the start");
    assert!(bucket.has_at_least(ms(60_000), 10.0) && !bucket.has_at_least(ms(60_000), 10.1));
    bucket.spend(30.0);
    assert!(!bucket.has_at_least(ms(60_190), 0.0) && bucket.has_at_least(ms(60_200), 0.0));
    bucket.set_rate(ms(60_300), 1000.0, 5.0);
    assert!(bucket.has_at_least(ms(60_300), 5.0) && !bucket.has_at_least(ms(60_300), 5.1));
}
