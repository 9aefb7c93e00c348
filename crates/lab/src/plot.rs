//! plot
