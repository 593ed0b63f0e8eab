//! Tests frames and state files that were recorded from the build at commit 5674931, which speaks
//! version 8.
//!
//! Each sample has other values in fields of the same type, so that a field in the wrong place is found.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fulmarweir_fleet::{AnnouncedState, RegistryCursor, RegistryDelta, TargetAnnouncement};
use fulmarweir_quorum::{
    Ballot, ConfigState, ProposerId, RegisterKey, RegisterValue, RequestBody, VoterIdentity,
    VoterMember, VoterReply, VoterRequest, VoterSet,
};
use fulmarweir_route::{
    AnswerReport, CrashNews, CrashReport, LimitReport, PermitAsk, PermitGrant, QuarantineEntry,
    QuarantineState, RequestFingerprint,
};
use fulmarweir_wire::{
    PeerMessage, PeerVersion, decode_message, decode_peer_message, encode_message,
    encode_peer_message,
};

use super::vm_message::{
    EntryContact, HandoverReply, HandoverRequest, KeeperContact, KeeperNews, NoticeMessage,
    PollReply, PollRequest, PollSource, QuarantineReport, RepeatMessage, TargetProbe,
    TargetReplyMessage, VmReply, VmRequest,
};
/// One line for each frame: its name, and its bytes in hexadecimal digits.
const RECORDED: &str = include_str!("../../tests/fixtures/version_8_frames.txt");
/// Frames of kinds that only version 9 has, recorded from the build that added them.
const RECORDED_9: &str = include_str!("../../tests/fixtures/version_9_frames.txt");

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], port))
}

fn fingerprint(number: u128) -> RequestFingerprint {
    format!("{:032x}", number << 100 | number).parse().unwrap()
}

fn entry_contact(port: u16) -> EntryContact {
    EntryContact {
        peers: address(port),
        centre: format!("centre-{port}").into(),
    }
}

fn keeper_contact() -> KeeperContact {
    KeeperContact {
        peers: "[2001:db8::7]:7904".parse().unwrap(),
        control: address(7903),
        centre: "north-1".into(),
    }
}

fn announcement(number: u16) -> TargetAnnouncement {
    let state = match number % 3 {
        0 => AnnouncedState::Gone,
        1 => AnnouncedState::Serving,
        _ => AnnouncedState::Draining,
    };
    TargetAnnouncement {
        id: format!("i-{number}").into(),
        service: format!("index-{}", number % 7).into(),
        address: address(9_000 + number),
        centre: "north-2".into(),
        slots: 16 + u32::from(number),
        state,
        born_ms: 1_790_000_000_000 + u64::from(number),
        sequence: 70_000 + u64::from(number),
        warm_up_ms: 1_500 + u32::from(number),
    }
}

fn limit_report(number: u64) -> LimitReport {
    LimitReport {
        target: format!("i-{number}").into(),
        born_ms: 1_790_000_000_100 + number,
        limit: (number % 2 == 1).then_some(37.5),
        age: Duration::from_millis(2_250 + number),
    }
}

fn quarantine_entry(number: u32, state: QuarantineState) -> QuarantineEntry {
    QuarantineEntry {
        fingerprint: fingerprint(number.into()),
        epoch: 300 + u64::from(number),
        state,
        by_operator: number % 2 == 1,
        crashes: 40 + number,
        blocks: 60 + number,
        spared: vec!["index-1".into(), "index-2".into()],
        age: Duration::from_micros(1_000_001 + u64::from(number)),
        ends_after: Duration::from_micros(30_000_007 + u64::from(number)),
    }
}

fn quarantine() -> Vec<QuarantineEntry> {
    vec![
        quarantine_entry(1, QuarantineState::Watched),
        quarantine_entry(2, QuarantineState::Trial),
        quarantine_entry(3, QuarantineState::Blocked),
        quarantine_entry(4, QuarantineState::Released),
    ]
}

fn poll_request(source: PollSource) -> PollRequest {
    PollRequest {
        source,
        cursor: Some(RegistryCursor {
            run: 0x1234_5678_9abc_def0,
            revision: 301,
        }),
        config_version: 12,
        voter_epoch: 13,
        contacts_digest: 0xfedc_ba98_7654_3210,
        brokers_digest: Some(0x0fed_cba9_8765_4321),
        limits_revision: 14,
        quarantine_revision: 15,
        wait_ms: 1_500,
        holds_version_0: false,
        evacuations_version: None,
    }
}

fn voter_set() -> VoterSet {
    let member = |number: u16| VoterMember {
        name: format!("10.1.2.3-{}", 7_900 + number).parse().unwrap(),
        identity: VoterIdentity(0xaaaa_0000 + u64::from(number)),
        address: address(7_900 + number),
    };
    VoterSet::new(6, vec![member(1), member(2), member(3)])
}

fn poll_reply(targets: u16) -> PollReply {
    PollReply {
        delta: Some(RegistryDelta {
            cursor: RegistryCursor {
                run: 0x0102_0304_0506_0708,
                revision: 302,
            },
            whole: true,
            settled: false,
            announcements: (0..targets).map(announcement).collect(),
            lapsed: vec!["i-900".into()],
        }),
        config_version: 21,
        voters: Some(voter_set()),
        contacts: Some(vec![keeper_contact()]),
        contacts_digest: 22,
        entries: 23,
        brokers: Some(vec![entry_contact(7_801), entry_contact(7_802)]),
        limits: Some(vec![limit_report(1), limit_report(2)]),
        limits_revision: 24,
        quarantine: QuarantineReport {
            boot: 25,
            revision: 26,
            digest: 27,
            entries: Some(quarantine()),
        },
        holds_version_0: false,
        evacuations: None,
    }
}

fn empty_poll_reply() -> PollReply {
    PollReply {
        delta: None,
        config_version: 0,
        voters: None,
        contacts: None,
        contacts_digest: 0,
        entries: 0,
        brokers: None,
        limits: None,
        limits_revision: 0,
        quarantine: QuarantineReport::default(),
        holds_version_0: false,
        evacuations: None,
    }
}

fn handover_request() -> HandoverRequest {
    HandoverRequest {
        has_homes: false,
        tenant_ordinal: 0,
        origin: "entry-7".into(),
        config_version: 31,
        route: "find".into(),
        sub_requests: vec![0, 3, 300],
        service: Some("index-3".into()),
        repeats: vec![
            RepeatMessage {
                sub_request: 3,
                ran: vec!["i-1".into(), "i-2".into()],
                only_fallback_in: None,
            },
            RepeatMessage {
                sub_request: 300,
                ran: Vec::new(),
                only_fallback_in: Some("north-1".into()),
            },
        ],
        is_last_resort: true,
        lent_extra: vec![3],
        fingerprint: fingerprint(77),
        method: "POST".to_owned(),
        uri: "/find?x=1".to_owned(),
        headers: vec![("x-a".to_owned(), b"b".to_vec())],
        body: Bytes::from_static(b"request body"),
        answer_in_ms: 800,
        time_left_ms: 1_950,
    }
}

fn handover_reply() -> HandoverReply {
    HandoverReply {
        answered: vec![0],
        unclear: vec![(3, vec!["i-4".into()])],
        refused: vec![5],
        pending: vec![7],
        rest: Some(99),
        unused_loans: vec![9],
        signatures: vec![vec![1, 2, 3], vec![4]],
        records: vec![5, 6, 7, 8],
        reply: Some(TargetReplyMessage {
            status: 207,
            headers: vec![("x-c".to_owned(), b"d".to_vec())],
            body: Bytes::from_static(b"reply body"),
            is_failure: true,
        }),
        links_lost: true,
        retry_after_ms: Some(450),
        notices: vec![NoticeMessage {
            service: "index-5".into(),
            target: "i-6".into(),
            born_ms: 1_790_000_000_200,
            leaves_within_ms: Some(5_000),
            closed_for_ms: Some(3_000),
        }],
        crashes: vec![(11, 2)],
        quarantine: Some(quarantine_entry(8, QuarantineState::Trial)),
    }
}

fn crash_news() -> CrashNews {
    CrashNews {
        crashes: vec![CrashReport {
            fingerprint: fingerprint(81),
            service: "index-1".into(),
            target: "i-11".into(),
            born_ms: 1_790_000_000_300,
            sent_age: Duration::from_millis(510),
            ended_age: Duration::from_millis(20),
        }],
        answers: vec![AnswerReport {
            fingerprint: fingerprint(82),
            service: "index-2".into(),
            age: Duration::from_millis(35),
        }],
        entries: quarantine(),
    }
}

/// A request to a voter. Those of other kinds are tested beside the voter.
fn voter_request() -> VoterRequest {
    VoterRequest {
        to: VoterIdentity(0xbbbb_0001),
        epoch: 6,
        body: RequestBody::Accept {
            key: RegisterKey::Config,
            ballot: Ballot {
                epoch: 6,
                counter: 41,
                proposer: ProposerId(0xcccc_0001),
            },
            value: Arc::new(RegisterValue::Config(ConfigState {
                version: 12,
                text: "{\"version\":12}".into(),
                outcomes: std::collections::VecDeque::new(),
            })),
            next: None,
        },
    }
}

fn requests() -> Vec<(&'static str, VmRequest)> {
    let ask = |number, wanted| PermitAsk {
        known: limit_report(number),
        wanted,
    };
    let (entry, keeper) = (entry_contact(7_811), keeper_contact());
    vec![
        (
            "request-poll-of-entry",
            VmRequest::Poll(poll_request(PollSource::Entry(entry.clone()))),
        ),
        (
            "request-poll-of-keeper",
            VmRequest::Poll(poll_request(PollSource::Keeper(keeper))),
        ),
        ("request-fetch-config", VmRequest::FetchConfig),
        ("request-voter", VmRequest::Voter(Box::new(voter_request()))),
        (
            "request-search",
            VmRequest::Search(Box::new(handover_request())),
        ),
        ("request-rest", VmRequest::Rest(1_234_567)),
        ("request-probe", VmRequest::Probe),
        (
            "request-permits",
            VmRequest::Permits(address(7_812), vec![ask(1, 6), ask(2, 0)]),
        ),
        (
            "request-probe-targets",
            VmRequest::ProbeTargets(vec![address(9_001), address(9_002)], true),
        ),
        ("request-entry-vms", VmRequest::EntryVms(entry, true)),
        (
            "request-crashes",
            VmRequest::Crashes(Box::new(crash_news())),
        ),
    ]
}

fn replies() -> Vec<(&'static str, VmReply)> {
    vec![
        ("reply-poll", VmReply::Poll(Box::new(poll_reply(3)))),
        (
            "reply-poll-compressed",
            VmReply::Poll(Box::new(poll_reply(90))),
        ),
        (
            "reply-poll-empty",
            VmReply::Poll(Box::new(empty_poll_reply())),
        ),
        (
            "reply-config",
            VmReply::Config(55, "{\"version\":55}".into()),
        ),
        (
            "reply-voter",
            VmReply::Voter(Some(Box::new(VoterReply::Accepted))),
        ),
        ("reply-voter-none", VmReply::Voter(None)),
        ("reply-search", VmReply::Search(Box::new(handover_reply()))),
        ("reply-not-taken", VmReply::NotTaken("too-busy".into())),
        ("reply-alive", VmReply::Alive(true)),
        (
            "reply-probed",
            VmReply::Probed(vec![
                TargetProbe::Unreached,
                TargetProbe::Connected,
                TargetProbe::Replied,
            ]),
        ),
        (
            "reply-entry-vms",
            VmReply::EntryVms(vec![entry_contact(7_821), entry_contact(7_822)]),
        ),
        (
            "reply-permits",
            VmReply::Permits(vec![PermitGrant {
                granted: 4,
                ask_again_after: Duration::from_millis(125),
            }]),
        ),
        ("reply-not-kept", VmReply::NotKept),
        ("reply-noted", VmReply::Noted),
    ]
}

fn targets_file() -> Vec<TargetAnnouncement> {
    (1..=5).map(announcement).collect()
}

/// Returns the recorded bytes of one frame.
fn recorded(name: &str) -> Vec<u8> {
    let lines = RECORDED.lines().chain(RECORDED_9.lines());
    let lines = lines.filter_map(|line| line.split_once(' '));
    let (_, digits) = lines.into_iter().find(|(known, _)| *known == name).unwrap();
    let pairs = digits.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    pairs.map(byte).collect()
}

fn check_frame<M: PeerMessage + PartialEq + std::fmt::Debug>(name: &str, sample: &M) {
    let frame = recorded(name);
    let decoded: M = decode_peer_message(&frame, PeerVersion::V8).unwrap();
    assert_eq!(decoded, *sample, "{name}");
    let encoded = encode_peer_message(&decoded, PeerVersion::V8).unwrap();
    let is_compressed = frame[0] != 0;
    if is_compressed {
        // The compressed bytes depend on the library's release, what they hold does not.
        let again: M = decode_peer_message(&encoded, PeerVersion::V8).unwrap();
        assert_eq!(again, *sample, "{name}");
        return;
    }
    assert_eq!(encoded, frame, "{name}");
    let newest = encode_peer_message(&decoded, PeerVersion::V9).unwrap();
    assert_eq!(newest[..frame.len()], frame, "{name}");
    assert_eq!(newest[frame.len()..], [0], "{name}");
}

/// Guards against a change of a message that an old build then reads wrongly or not at all.
#[test]
fn recorded_requests_and_replies_are_read_and_written_unchanged() {
    let (requests, replies) = (requests(), replies());
    for (name, request) in &requests {
        check_frame(name, request);
    }
    for (name, reply) in &replies {
        check_frame(name, reply);
    }
    let names = RECORDED.lines().filter(|line| line.starts_with("re"));
    assert_eq!(names.count(), requests.len() + replies.len());
}

/// Guards against a keeper that loses its targets or its quarantine when its build is replaced, in either
/// direction.
#[test]
fn recorded_state_files_are_read_and_written_unchanged() {
    let bytes = recorded("file-targets");
    let targets: Vec<TargetAnnouncement> = decode_message(&bytes).unwrap();
    assert_eq!(targets, targets_file());
    assert_eq!(encode_message(&targets).unwrap(), bytes);
    let bytes = recorded("file-quarantine");
    let entries: Vec<QuarantineEntry> = decode_message(&bytes).unwrap();
    assert_eq!(entries, quarantine());
    assert_eq!(encode_message(&entries).unwrap(), bytes);
}

/// Guards against a change of a message that another build of version 9 then refuses.
#[test]
fn recorded_requests_of_version_9_are_read_and_written_unchanged() {
    let news = KeeperNews {
        departures: vec![announcement(2), announcement(3)],
        quarantine: vec![quarantine_entry(3, QuarantineState::Blocked)],
    };
    let of_second_tenant = HandoverRequest {
        tenant_ordinal: 1,
        ..handover_request()
    };
    let samples = [
        ("request-replicate", VmRequest::Replicate(Box::new(news))),
        (
            "request-search-tenant",
            VmRequest::Search(Box::new(of_second_tenant)),
        ),
    ];
    for (name, sample) in samples {
        let frame = recorded(name);
        let decoded: VmRequest = decode_peer_message(&frame, PeerVersion::V9).unwrap();
        assert_eq!(decoded, sample, "{name}");
        let encoded = encode_peer_message(&sample, PeerVersion::V9).unwrap();
        assert_eq!(encoded, frame, "{name}");
        assert!(encode_peer_message(&sample, PeerVersion::V8).is_err());
    }
}
