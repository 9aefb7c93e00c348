//! The state machines of the feed one by one.

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
