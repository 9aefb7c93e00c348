//! record
