//! command
