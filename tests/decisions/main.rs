//! The decisions, by concern: what docs/design.md claims, and each failure that was found, as plain cases; in `rules`
//! random runs.

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
