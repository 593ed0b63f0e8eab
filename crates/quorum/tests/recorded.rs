//! Tests messages, records and a log of voters that were recorded from the build at commit 5674931,
//! which speaks version 8.
//!
//! Each sample has other values in fields of the same type, so that a field in the wrong place is found.

use std::{collections::VecDeque, fmt, net::SocketAddr, path::PathBuf, sync::Arc};

use bytes::Bytes;
use fulmarweir_base::TimerService;
use fulmarweir_quorum::{
    AcceptedValue, ActClaim, ActKey, ActOutcome, ActState, Ballot, ChangeRecord, ConfigState,
    EpochState, PageCursor, ProposerId, RegisterCopy, RegisterKey, RegisterValue, RequestBody,
    SubmitOutcome, VoterIdentity, VoterMember, VoterRecord, VoterReply, VoterRequest, VoterService,
    VoterSet, VoterSettings,
};
use serde::{Serialize, de::DeserializeOwned};

/// One line for each message, record and file: its name, and its bytes in hexadecimal digits.
const RECORDED: &str = include_str!("fixtures/version_8_voters.txt");
const LOG_FILE: &str = "log-00000000000000000001";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], port))
}

fn ballot(number: u64) -> Ballot {
    Ballot {
        epoch: 100 + number,
        counter: 200 + number,
        proposer: ProposerId(0xcccc_0000 + number),
    }
}

fn voter_set(epoch: u64) -> VoterSet {
    let member = |number: u16| VoterMember {
        name: format!("10.1.2.3-{}", 7_900 + number).parse().unwrap(),
        identity: VoterIdentity(0xaaaa_0000 + u64::from(number) + epoch),
        address: address(7_900 + number),
    };
    VoterSet::new(epoch, vec![member(1), member(2), member(3)])
}

fn epoch_state() -> EpochState {
    EpochState {
        current: voter_set(5),
        next: Some(voter_set(6)),
        previous: Some(voter_set(4)),
    }
}

fn act_key() -> RegisterKey {
    RegisterKey::Act(ActKey {
        service: "fees/pay".parse().unwrap(),
        key: "key-1".into(),
    })
}

fn claim() -> ActClaim {
    let mut body = [7; 32];
    body[31] = 9;
    ActClaim {
        vm: "ub-1".parse().unwrap(),
        incarnation: 301,
        attempt: 302,
        body,
    }
}

fn config_state() -> ConfigState {
    let outcome = |change: &str, outcome| ChangeRecord {
        change: change.into(),
        outcome,
    };
    ConfigState {
        version: 12,
        text: "{\"version\":12}".into(),
        outcomes: VecDeque::from([
            outcome("change-1", SubmitOutcome::Accepted { version: 11 }),
            outcome("change-2", SubmitOutcome::Conflict { current: 10 }),
        ]),
    }
}

fn values() -> Vec<RegisterValue> {
    let outcome = ActOutcome {
        status: 202,
        body: Bytes::from_static(b"act body"),
    };
    let claim = claim();
    vec![
        RegisterValue::Act(ActState::Claimed(claim.clone())),
        RegisterValue::Act(ActState::Finished { claim, outcome }),
        RegisterValue::Act(ActState::Released),
        RegisterValue::Config(config_state()),
        RegisterValue::Voters(voter_set(7)),
    ]
}

fn accepted(value: RegisterValue) -> AcceptedValue {
    AcceptedValue {
        ballot: ballot(3),
        value: Arc::new(value),
    }
}

fn copies() -> Vec<RegisterCopy> {
    let keys = [
        act_key(),
        act_key(),
        act_key(),
        RegisterKey::Config,
        RegisterKey::Voters,
    ];
    let mut copies: Vec<RegisterCopy> = keys
        .into_iter()
        .zip(values())
        .map(|(key, value)| RegisterCopy {
            key,
            promised: ballot(4),
            accepted: Some(accepted(value)),
        })
        .collect();
    copies.push(RegisterCopy {
        key: RegisterKey::Config,
        promised: ballot(5),
        accepted: None,
    });
    copies
}

fn requests() -> Vec<(&'static str, VoterRequest)> {
    let config = || Arc::new(RegisterValue::Config(config_state()));
    let (key, ballot_1, ballot_2) = (act_key(), ballot(1), ballot(2));
    let bodies = vec![
        (
            "request-accept",
            RequestBody::Accept {
                key: RegisterKey::Config,
                ballot: ballot_1,
                value: config(),
                next: Some(ballot_2),
            },
        ),
        ("request-complete", RequestBody::Complete),
        ("request-identify", RequestBody::Identify),
        (
            "request-install",
            RequestBody::Install {
                registers: copies(),
            },
        ),
        (
            "request-prepare",
            RequestBody::Prepare {
                key: RegisterKey::Voters,
                ballot: ballot_1,
            },
        ),
        ("request-read", RequestBody::Read { key: key.clone() }),
        (
            "request-read-page",
            RequestBody::ReadPage {
                from: PageCursor {
                    shard: 3,
                    after: Some(key),
                },
            },
        ),
        (
            "request-seal",
            RequestBody::Seal {
                next: voter_set(8),
                previous: Some(voter_set(7)),
            },
        ),
    ];
    let request = |(name, body)| {
        let to = VoterIdentity(0xbbbb_0001);
        (name, VoterRequest { to, epoch: 6, body })
    };
    bodies.into_iter().map(request).collect()
}

fn replies() -> Vec<(&'static str, VoterReply)> {
    let (epoch, identity) = (epoch_state(), VoterIdentity(0xdddd_0001));
    let config = || Some(accepted(RegisterValue::Config(config_state())));
    vec![
        ("reply-accepted", VoterReply::Accepted),
        (
            "reply-conflict",
            VoterReply::Conflict {
                promised: ballot(6),
            },
        ),
        (
            "reply-identity",
            VoterReply::Identity {
                identity,
                epoch: epoch.clone(),
            },
        ),
        ("reply-installed", VoterReply::Installed),
        (
            "reply-moved",
            VoterReply::Moved {
                epoch: epoch.clone(),
            },
        ),
        ("reply-not-whole", VoterReply::NotWhole { epoch }),
        (
            "reply-page",
            VoterReply::Page {
                registers: copies(),
                next: Some(PageCursor {
                    shard: 9,
                    after: None,
                }),
            },
        ),
        (
            "reply-promised",
            VoterReply::Promised { accepted: config() },
        ),
        (
            "reply-read-value",
            VoterReply::ReadValue { accepted: config() },
        ),
        ("reply-sealed", VoterReply::Sealed { whole_for: 77 }),
        ("reply-stopped", VoterReply::Stopped),
        ("reply-stranger", VoterReply::Stranger { identity }),
        ("reply-whole", VoterReply::Whole),
    ]
}

fn records() -> Vec<(&'static str, VoterRecord)> {
    vec![
        ("record-epoch", VoterRecord::Epoch(epoch_state())),
        (
            "record-floor",
            VoterRecord::Floor {
                shard: 11,
                floor: ballot(7),
            },
        ),
        (
            "record-promise",
            VoterRecord::Promise {
                key: act_key(),
                ballot: ballot(8),
            },
        ),
        (
            "record-register-act",
            VoterRecord::Register(copies().swap_remove(1)),
        ),
        (
            "record-register-config",
            VoterRecord::Register(copies().swap_remove(3)),
        ),
        (
            "record-register-voters",
            VoterRecord::Register(copies().swap_remove(4)),
        ),
        (
            "record-remove",
            VoterRecord::Remove {
                key: act_key(),
                floor: ballot(9),
            },
        ),
    ]
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap()
}

/// The settings of the voter whose log was recorded.
fn log_settings(folder: &std::path::Path) -> VoterSettings {
    let name: fulmarweir_base::VmName = "10.1.2.3-7901".parse().unwrap();
    let first_set = VoterSet::from_settings([(name.clone(), address(7_901))]);
    VoterSettings::new(name, folder, first_set)
}

fn open_voter(folder: &std::path::Path) -> Arc<VoterService> {
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    VoterService::open(log_settings(folder), TimerService::new(), logger).unwrap()
}

/// Returns an empty folder of this test process.
fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("quorum-{name}-{}", std::process::id()));
    // Left over by an earlier process with the same number.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Returns the set that the voter of the recorded log belongs to.
fn log_set(identity: VoterIdentity) -> VoterSet {
    let member = VoterMember {
        name: "10.1.2.3-7901".parse().unwrap(),
        identity,
        address: address(7_901),
    };
    VoterSet::new(1, vec![member])
}

/// Returns the recorded bytes of one message, record or file.
fn recorded(name: &str) -> Vec<u8> {
    let mut lines = RECORDED.lines().filter_map(|line| line.split_once(' '));
    let (_, digits) = lines.find(|(known, _)| *known == name).unwrap();
    let pairs = digits.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    pairs.map(byte).collect()
}

fn check<T: DeserializeOwned + Serialize + PartialEq + fmt::Debug>(samples: &[(&str, T)]) {
    for (name, sample) in samples {
        let bytes = recorded(name);
        let (decoded, read_len): (T, usize) =
            bincode::serde::decode_from_slice(&bytes, bincode::config::standard()).unwrap();
        assert_eq!(decoded, *sample, "{name}");
        assert_eq!(read_len, bytes.len(), "{name}");
        assert_eq!(encode(&decoded), bytes, "{name}");
    }
}

/// Guards against voters of two builds that read each other's messages wrongly.
#[test]
fn recorded_messages_are_read_and_written_unchanged() {
    check(&requests());
    check(&replies());
    let messages = RECORDED.lines().filter(|line| line.starts_with("re"));
    let messages = messages.filter(|line| !line.starts_with("record-"));
    assert_eq!(messages.count(), requests().len() + replies().len());
}

/// Guards against a log that a voter cannot open after its build was replaced, in either direction.
#[test]
fn recorded_records_are_read_and_written_unchanged() {
    check(&records());
}

/// Guards against a voter that loses its promises and registers by an upgrade, and against an upgrade
/// that changes a log before anything new is written, which would rule out the way back.
#[tokio::test]
async fn a_voter_opens_a_recorded_log_and_leaves_it_unchanged() {
    let folder = empty_folder("recorded");
    let bytes = recorded("file-log");
    std::fs::write(folder.join(LOG_FILE), &bytes).unwrap();
    let voter = open_voter(&folder);
    let to = voter.identity();
    let set = log_set(to);
    assert_eq!(voter.epoch_state(), EpochState::settled(set));
    assert_eq!(voter.accepted_config_version(), Some(12));
    assert_eq!(voter.register_count(), 2);
    for (key, value) in [
        (RegisterKey::Config, RegisterValue::Config(config_state())),
        (act_key(), values().swap_remove(1)),
    ] {
        let body = RequestBody::Read { key };
        let reply = voter.handle(VoterRequest { to, epoch: 1, body }).await;
        let accepted = Some(accepted(value));
        assert_eq!(reply, VoterReply::ReadValue { accepted });
    }
    assert_eq!(std::fs::read(folder.join(LOG_FILE)).unwrap(), bytes);
    // A lower ballot than the promised one, which only the log states.
    let body = RequestBody::Prepare {
        key: RegisterKey::Config,
        ballot: ballot(3),
    };
    let reply = voter.handle(VoterRequest { to, epoch: 1, body }).await;
    let promised = ballot(4);
    assert_eq!(reply, VoterReply::Conflict { promised });
    drop(voter);
    std::fs::remove_dir_all(&folder).unwrap();
}
