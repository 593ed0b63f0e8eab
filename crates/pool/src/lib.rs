//! Bounded connections to targets.
