//! Unit tests of the feed's state machines and data structures.

mod digest_delay;
mod encoded_size;
mod fixtures;
mod health_check_quota;
mod observation_store;
mod partition_caches;
mod preference;
mod publisher;
mod subscriber;
mod token_bucket;
