//! Durable log and snapshots in one data folder.
