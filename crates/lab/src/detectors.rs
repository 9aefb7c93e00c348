//! detectors
