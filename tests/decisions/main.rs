//! Tests of the router's decisions, in virtual time and without I/O, one module for each concern. They cover
//! the claims of docs/design.md and have one test case for each failure found so far; `rules` makes random
//! runs. `simulation` and `support` are helpers of the tests.

mod admission;
mod attempt_check;
mod balancing;
mod concurrency_limit;
mod endpoints;
mod freshness;
mod health_checks;
mod load_reports;
mod maintenance;
mod outlier_detection;
mod peer_observations;
mod primary;
mod retry_policy;
mod rules;
mod session_tokens;
mod simulation;
mod slow_start;
mod support;
