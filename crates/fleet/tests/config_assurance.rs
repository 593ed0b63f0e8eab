//! Tests of when a VM is sure of its configuration.

use fulmarweir_base::MonoTime;
use fulmarweir_fleet::ConfigAssurance;

const fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Guards against 401 for a valid key before any keeper has told the version in force.
#[test]
fn a_vm_is_not_sure_before_a_keeper_has_told_a_version() {
    let mut assurance = ConfigAssurance::default();
    assert!(!assurance.is_sure_of(0, at(0)));
    assert!(!assurance.is_sure_of(7, at(0)));
    // A keeper that has just started knows no configuration.
    assurance.record(None, at(10));
    assert!(!assurance.is_sure_of(7, at(10)));
    assurance.record(Some(7), at(20));
    assert!(assurance.is_sure_of(7, at(20)));
}

/// Guards against 401 for a new key while its configuration is being fetched.
#[test]
fn a_vm_is_not_sure_while_a_keeper_knows_a_newer_version() {
    let mut assurance = ConfigAssurance::default();
    assurance.record(Some(7), at(0));
    assurance.record(Some(8), at(10));
    assert!(!assurance.is_sure_of(7, at(10)));
    // A keeper that lags behind confirms nothing.
    assurance.record(Some(7), at(20));
    assert!(!assurance.is_sure_of(7, at(20)));
    assert!(assurance.is_sure_of(8, at(20)));
}

/// Guards against 401 for a new key by a VM that is cut off from the keepers.
#[test]
fn a_vm_without_keepers_does_not_stay_sure() {
    let mut assurance = ConfigAssurance::default();
    assurance.record(Some(7), at(0));
    assert!(assurance.is_sure_of(7, at(1_500)));
    assert!(!assurance.is_sure_of(7, at(4_000)));
    // Keepers that have restarted know nothing yet.
    assurance.record(None, at(4_000));
    assert!(!assurance.is_sure_of(7, at(4_000)));
    assurance.record(Some(7), at(4_100));
    assert!(assurance.is_sure_of(7, at(4_100)));
}

/// Guards against a configuration with version 0 that is taken for none.
#[test]
fn a_vm_is_sure_of_version_0_once_a_keeper_has_told_it() {
    let mut assurance = ConfigAssurance::default();
    assurance.record(None, at(0));
    assert!(!assurance.is_sure_of(0, at(0)));
    assurance.record(Some(0), at(10));
    assert!(assurance.is_sure_of(0, at(10)));
    assurance.record(Some(3), at(20));
    assert!(!assurance.is_sure_of(0, at(20)));
}
