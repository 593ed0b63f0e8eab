//! Helpers for integration tests on real daemons.
