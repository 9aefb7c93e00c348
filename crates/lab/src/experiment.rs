//! experiment
