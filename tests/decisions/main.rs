//! Tests of the decisions, one module for each concern. They cover the claims of docs/design.md and, as
//! single cases, the failures found so far; `rules` makes random runs.

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
