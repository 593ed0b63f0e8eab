//! Tests of the permits that one keeper grants.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{PermitAsker, RateAsk, RateGrantor, RateKey, RateLimit};

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

/// Asks for permits of a tenant with this version of its rate.
fn ask(
    grantor: &mut RateGrantor,
    (version, rate): (u64, f64),
    (wanted, returned): (u32, u32),
    ms: u64,
) -> u32 {
    let asker = PermitAsker {
        vm: SocketAddr::from(([10, 0, 0, 1], 7)),
        spread: 0.5,
    };
    let ask = RateAsk {
        key: RateKey::Tenant("club".into()),
        limit: RateLimit {
            version,
            per_second: rate,
            burst: rate,
        },
        wanted,
        returned,
    };
    grantor.ask(asker, &ask, Some(5), at(ms)).granted
}

/// Guards against a full burst after the restart of a keeper, which the earlier process has granted.
#[test]
fn a_keeper_that_has_just_started_has_nothing_saved_up() {
    let mut grantor = RateGrantor::new(at(0));
    assert_eq!(ask(&mut grantor, (1, 50.0), (100, 0), 100), 1);
    assert_eq!(ask(&mut grantor, (1, 50.0), (100, 0), 60_000), 10);
}

/// Guards against a tenant that sends rarely and finds an empty bucket each time.
#[test]
fn a_rate_that_was_forgotten_has_its_burst_saved_up() {
    let mut grantor = RateGrantor::new(at(0));
    assert_eq!(ask(&mut grantor, (1, 5.0), (1, 0), 60_000), 1);
    grantor.remove_expired(at(200_000));
    assert!(grantor.is_empty());
    assert_eq!(ask(&mut grantor, (1, 5.0), (100, 0), 200_000), 3);
}

/// Guards against permits given back that are credited beyond what may be saved up.
#[test]
fn returned_permits_are_granted_again_as_far_as_they_fit() {
    let mut grantor = RateGrantor::new(at(0));
    assert_eq!(ask(&mut grantor, (1, 50.0), (10, 0), 60_000), 10);
    assert_eq!(ask(&mut grantor, (1, 50.0), (10, 4), 60_000), 4);
    assert_eq!(ask(&mut grantor, (1, 50.0), (100, 4_000), 60_000), 10);
}

/// Guards against credit of a higher rate, and against VMs that know an older one.
#[test]
fn a_lower_rate_cuts_what_was_saved_up_and_outlives_older_versions() {
    let mut grantor = RateGrantor::new(at(0));
    assert_eq!(ask(&mut grantor, (1, 500.0), (1, 0), 60_000), 1);
    assert_eq!(ask(&mut grantor, (2, 5.0), (1, 0), 60_000), 1);
    assert_eq!(ask(&mut grantor, (1, 500.0), (100, 0), 60_000), 2);
    assert_eq!(ask(&mut grantor, (1, 500.0), (100, 0), 61_000), 1);
}

/// Guards against a raised rate that counts for the time before it.
#[test]
fn a_higher_rate_counts_from_when_it_is_known() {
    let mut grantor = RateGrantor::new(at(0));
    assert_eq!(ask(&mut grantor, (1, 5.0), (3, 0), 60_000), 3);
    assert_eq!(ask(&mut grantor, (2, 500.0), (100, 0), 61_000), 1);
}

/// Guards against numbers of a malformed message in a bucket.
#[test]
fn a_rate_that_is_no_number_gets_nothing() {
    let mut grantor = RateGrantor::new(at(0));
    assert_eq!(ask(&mut grantor, (1, f64::NAN), (1, 0), 60_000), 0);
    assert!(grantor.is_empty());
}
