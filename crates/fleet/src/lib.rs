//! Membership, target leases, broker assignment and configuration spreading.
