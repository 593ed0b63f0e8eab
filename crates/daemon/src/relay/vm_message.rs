//! Requests and replies between the VMs of a relay deployment.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use fulmarweir_fleet::{RegistryCursor, RegistryDelta, TargetAnnouncement};
use fulmarweir_permits::{RateAsk, RateGrant};
use fulmarweir_quorum::{VoterReply, VoterRequest, VoterSet};
use fulmarweir_route::{
    CrashNews, LimitReport, PermitAsk, PermitGrant, QuarantineEntry, RequestFingerprint,
};
use fulmarweir_wire::{ExtensionFields, PeerMessage, PeerVersion};
use serde::{Deserialize, Serialize};

/// The addresses and the data centre of a keeper.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct KeeperContact {
    /// Address for requests of other VMs.
    pub(crate) peers: SocketAddr,
    /// Address for requests of targets and operators.
    pub(crate) control: SocketAddr,
    pub(crate) centre: Arc<str>,
}

/// The address and the data centre of an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct EntryContact {
    /// Address for requests of other VMs.
    pub(crate) peers: SocketAddr,
    pub(crate) centre: Arc<str>,
}

/// The VM that polls a keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum PollSource {
    Entry(EntryContact),
    Keeper(KeeperContact),
}

/// A long poll of a keeper, which replies once something has changed or after `wait_ms`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PollRequest {
    pub(crate) source: PollSource,
    /// The position of an entry VM in the keeper's registry; `None` at the start and for keepers.
    pub(crate) cursor: Option<RegistryCursor>,
    pub(crate) config_version: u64,
    pub(crate) voter_epoch: u64,
    /// Digest of the contacts in this keeper's last reply, 0 for none.
    pub(crate) contacts_digest: u64,
    /// Digest of the brokers in this keeper's last reply, 0 for none. `None` if the poller wants no
    /// brokers of this keeper.
    pub(crate) brokers_digest: Option<u64>,
    /// Revision of the limits in this keeper's last reply, 0 for none.
    pub(crate) limits_revision: u64,
    /// Revision of the quarantine in this keeper's last reply, 0 for none.
    pub(crate) quarantine_revision: u64,
    /// Longest time until the reply, in milliseconds.
    pub(crate) wait_ms: u32,
    /// Whether `config_version` is 0 for a configuration with version 0, not for none.
    #[serde(skip)]
    pub(crate) holds_version_0: bool,
    /// Version of the evacuations that the poller holds, 0 for none; `None` if the poller speaks version
    /// 8 and cannot read them.
    #[serde(skip)]
    pub(crate) evacuations_version: Option<u64>,
}

/// What has changed at a keeper since the poller's last poll.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PollReply {
    /// Changes of the registry, for entry VMs only.
    pub(crate) delta: Option<RegistryDelta>,
    /// The highest configuration version that the keeper knows to be decided.
    pub(crate) config_version: u64,
    /// The voters, if their epoch is higher than the poller's; for keepers only.
    pub(crate) voters: Option<VoterSet>,
    /// The live keepers, if their digest differs from the poller's.
    pub(crate) contacts: Option<Vec<KeeperContact>>,
    pub(crate) contacts_digest: u64,
    /// Number of entry VMs that poll this keeper.
    pub(crate) entries: u32,
    /// Entry VMs that may run searches for the poller, if their digest differs from the poller's.
    pub(crate) brokers: Option<Vec<EntryContact>>,
    /// The limits of targets that entry VMs have told this keeper, if their revision differs from
    /// the poller's; for entry VMs only.
    pub(crate) limits: Option<Vec<LimitReport>>,
    pub(crate) limits_revision: u64,
    pub(crate) quarantine: QuarantineReport,
    /// Whether `config_version` is 0 for a configuration with version 0, not for none.
    #[serde(skip)]
    pub(crate) holds_version_0: bool,
    /// The evacuations, if their version is higher than the poller's.
    #[serde(skip)]
    pub(crate) evacuations: Option<EvacuationState>,
}

/// What a keeper knows of requests that end their targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct QuarantineReport {
    /// Distinguishes the processes of the keeper.
    pub(crate) boot: u64,
    /// Changes with the entries.
    pub(crate) revision: u64,
    /// Sums up the entries.
    pub(crate) digest: u64,
    /// The entries that have changed since the poller's revision.
    pub(crate) entries: Option<Vec<QuarantineEntry>>,
}

/// Asks a broker to run a request, or some shards of a search, on behalf of another VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HandoverRequest {
    /// Name of the VM that received the request from its caller.
    pub(crate) origin: Arc<str>,
    /// Configuration version at the origin. A broker with another version rejects the handover.
    pub(crate) config_version: u64,
    /// Name of the route, or a text that is the name of no route if others have it too. Only builds up to
    /// 93e5007 find the route by it; others do so by the host and the path.
    pub(crate) route: Arc<str>,
    /// Indexes of the shards in the route's list of shards; only 0 if `service` is set.
    pub(crate) sub_requests: Vec<u16>,
    /// The service that the origin has chosen, if the request is no search.
    pub(crate) service: Option<Arc<str>>,
    /// What was sent before, by the origin or by another broker.
    pub(crate) repeats: Vec<RepeatMessage>,
    /// Whether the origin has lost its links to targets and found no other broker, so that the broker
    /// takes the request unless it would refuse one of its own callers.
    pub(crate) is_last_resort: bool,
    /// Indexes of the shards for each of which the origin has charged an extra attempt, which the
    /// broker may send.
    pub(crate) lent_extra: Vec<u16>,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) method: String,
    pub(crate) uri: String,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Bytes,
    /// Time until the broker replies with the answers that it has by then, in milliseconds.
    pub(crate) answer_in_ms: u64,
    /// Time until the caller's deadline, in milliseconds.
    pub(crate) time_left_ms: u64,
    /// Whether the request has home regions, so that a broker must know these. Not sent: a broker takes
    /// the home regions from its configuration.
    #[serde(skip)]
    pub(crate) has_homes: bool,
    /// Number of the request's tenant among those of its name, which the headers tell.
    #[serde(skip)]
    pub(crate) tenant_ordinal: u32,
}

/// A sub-request of a handover that was sent before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct RepeatMessage {
    pub(crate) sub_request: u16,
    /// Targets on which it may have run.
    pub(crate) ran: Vec<Arc<str>>,
    /// If these are not known: the data centre to whose fallback target it is restricted.
    pub(crate) only_fallback_in: Option<Arc<str>>,
}

/// The reply of a target that a broker passes on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct TargetReplyMessage {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    pub(crate) body: Bytes,
    /// Whether it is a failure of the target.
    pub(crate) is_failure: bool,
}

/// The result of a handover.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HandoverReply {
    /// Indexes of the shards that answered.
    pub(crate) answered: Vec<u16>,
    /// Indexes of unanswered shards whose query may have run, each with the targets that may have
    /// run it.
    pub(crate) unclear: Vec<(u16, Vec<Arc<str>>)>,
    /// Indexes of unanswered shards whose targets refused all attempts.
    pub(crate) refused: Vec<u16>,
    /// Indexes of unanswered shards with attempts in flight.
    pub(crate) pending: Vec<u16>,
    /// Number under which the answers to the pending shards can be fetched.
    pub(crate) rest: Option<u64>,
    /// Indexes of shards whose lent extra attempt was not used.
    pub(crate) unused_loans: Vec<u16>,
    /// The signatures of the targets over their replies.
    pub(crate) signatures: Vec<Vec<u8>>,
    /// The greatest records of the shards that answered.
    pub(crate) records: Vec<u8>,
    /// The reply to a request that is no search.
    pub(crate) reply: Option<TargetReplyMessage>,
    /// Whether the broker has lost its links to targets.
    pub(crate) links_lost: bool,
    /// Time after which the caller of a refused request may retry, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
    /// What targets told the broker about themselves.
    pub(crate) notices: Vec<NoticeMessage>,
    /// Indexes of shards whose targets ended while they ran the query, with how many did.
    pub(crate) crashes: Vec<(u16, u32)>,
    /// What the broker knows of the query, if it was lost with targets before.
    pub(crate) quarantine: Option<QuarantineEntry>,
}

/// What a target has told a broker about itself. The times count from the target's reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct NoticeMessage {
    pub(crate) service: Arc<str>,
    /// Id of the target.
    pub(crate) target: Arc<str>,
    /// Distinguishes incarnations of the target.
    pub(crate) born_ms: u64,
    /// Time after which the target, which leaves, gets no new requests, in milliseconds.
    pub(crate) leaves_within_ms: Option<u64>,
    /// Time for which the target wants no requests, in milliseconds.
    pub(crate) closed_for_ms: Option<u64>,
}

/// What became of the probe of a target; a better result is greater.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum TargetProbe {
    Unreached,
    Connected,
    Replied,
}

/// A request of another VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum VmRequest {
    Poll(PollRequest),
    FetchConfig,
    Voter(Box<VoterRequest>),
    Search(Box<HandoverRequest>),
    /// Waits for the rest of a handover, by the number in [`HandoverReply::rest`].
    Rest(u64),
    /// Checks whether an entry VM is alive and accepts handovers.
    Probe,
    /// The entry VM with this address asks a keeper for permits to send to targets with a limit.
    Permits(SocketAddr, Vec<PermitAsk>),
    /// Opens connections to targets for a VM that reaches none, with a request on each if the flag is
    /// set.
    ProbeTargets(Vec<SocketAddr>, bool),
    /// Asks a keeper for entry VMs in all data centres; the flag tells whether this entry VM has lost its
    /// links to targets.
    EntryVms(EntryContact, bool),
    /// Tells a keeper of requests that were lost with their targets.
    Crashes(Box<CrashNews>),
    /// The entry VM with this address asks a keeper for permits of rates that hold for all VMs
    /// together.
    Rates(SocketAddr, Vec<RateAsk>),
    /// Has a keeper store what another one is about to acknowledge. The reply is [`VmReply::Noted`] once
    /// it is on the disk. Builds of version 9 from before this request refuse it as unreadable.
    Replicate(Box<KeeperNews>),
}

/// What a keeper acknowledges to targets and operators only once other keepers have it too.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct KeeperNews {
    /// Targets that drain or have left.
    pub(crate) departures: Vec<TargetAnnouncement>,
    /// Changes of the quarantine by operators.
    pub(crate) quarantine: Vec<QuarantineEntry>,
}

/// The reply to a [`VmRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum VmReply {
    Poll(Box<PollReply>),
    /// Version and text of the configuration.
    Config(u64, Arc<str>),
    Voter(Option<Box<VoterReply>>),
    Search(Box<HandoverReply>),
    /// The handover was rejected for this reason; nothing has run.
    NotTaken(Arc<str>),
    /// Whether this VM accepts handovers.
    Alive(bool),
    /// What became of the probes of targets, in the order in which they were asked for.
    Probed(Vec<TargetProbe>),
    /// Entry VMs that have not lost their links, as far as the keeper knows.
    EntryVms(Vec<EntryContact>),
    /// Permits in the order in which they were asked for.
    Permits(Vec<PermitGrant>),
    /// This VM does not serve requests of this kind.
    NotKept,
    /// What was told is known now.
    Noted,
    /// Permits in the order in which they were asked for.
    Rates(Vec<RateGrant>),
}

/// Numbers of the extension fields of requests and replies. A number is never used again for
/// another field.
mod field {
    /// Version of the evacuations that the poller holds.
    pub(super) const EVACUATIONS_VERSION: u32 = 1;
    /// The evacuations in force.
    pub(super) const EVACUATIONS: u32 = 2;
    /// Present in requests and replies if the configuration held has version 0.
    pub(super) const HOLDS_VERSION_0: u32 = 3;
    /// Number of the tenant of a handover among those of its name, if it is not the first one. Builds that do
    /// not know the field refuse configurations in which two tenants have one name.
    pub(super) const TENANT_ORDINAL: u32 = 4;
}

/// The data centres whose targets must get no new requests. The highest version counts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct EvacuationState {
    pub(crate) version: u64,
    pub(crate) centres: Vec<Arc<str>>,
}

impl PollRequest {
    /// Returns the version of the configuration that the poller holds.
    pub(crate) fn held_version(&self) -> Option<u64> {
        held_version(self.config_version, self.holds_version_0)
    }
}

impl PollReply {
    /// Returns the version of the configuration that the keeper knows to be decided.
    pub(crate) fn held_version(&self) -> Option<u64> {
        held_version(self.config_version, self.holds_version_0)
    }
}

/// Returns the fields by which polls tell the version of a configuration that is held.
pub(crate) fn wire_version(held: Option<u64>) -> (u64, bool) {
    (held.unwrap_or_default(), held == Some(0))
}

/// The reverse of [`wire_version`].
fn held_version(config_version: u64, holds_version_0: bool) -> Option<u64> {
    (config_version > 0 || holds_version_0).then_some(config_version)
}

fn put_version_0(fields: &mut ExtensionFields, holds_version_0: bool) {
    if holds_version_0 {
        fields.put(field::HOLDS_VERSION_0, &true);
    }
}

impl PeerMessage for VmRequest {
    fn version_min(&self) -> PeerVersion {
        match self {
            Self::Rates(..) | Self::Replicate(_) => PeerVersion::V9,
            Self::Voter(request) if request.names_evacuations() => PeerVersion::V9,
            // A broker that was replaced by an older build meanwhile must not get it in that version.
            Self::Search(request) if request.has_homes || request.tenant_ordinal > 0 => {
                PeerVersion::V9
            }
            _ => PeerVersion::V8,
        }
    }

    fn extension(&self) -> ExtensionFields {
        let mut fields = ExtensionFields::default();
        match self {
            Self::Poll(request) => {
                if let Some(version) = &request.evacuations_version {
                    fields.put(field::EVACUATIONS_VERSION, version);
                }
                put_version_0(&mut fields, request.holds_version_0);
            }
            Self::Search(request) if request.tenant_ordinal > 0 => {
                fields.put(field::TENANT_ORDINAL, &request.tenant_ordinal);
            }
            _ => {}
        }
        fields
    }

    fn set_extension(&mut self, fields: &ExtensionFields) {
        match self {
            Self::Poll(request) => {
                request.evacuations_version = fields.get(field::EVACUATIONS_VERSION);
                request.holds_version_0 = fields.get(field::HOLDS_VERSION_0).unwrap_or_default();
            }
            Self::Search(request) => {
                request.tenant_ordinal = fields.get(field::TENANT_ORDINAL).unwrap_or_default();
            }
            _ => {}
        }
    }
}

impl PeerMessage for VmReply {
    fn version_min(&self) -> PeerVersion {
        match self {
            Self::Rates(_) => PeerVersion::V9,
            _ => PeerVersion::V8,
        }
    }

    fn extension(&self) -> ExtensionFields {
        let mut fields = ExtensionFields::default();
        if let Self::Poll(reply) = self {
            if let Some(evacuations) = &reply.evacuations {
                fields.put(field::EVACUATIONS, evacuations);
            }
            put_version_0(&mut fields, reply.holds_version_0);
        }
        fields
    }

    fn set_extension(&mut self, fields: &ExtensionFields) {
        if let Self::Poll(reply) = self {
            reply.evacuations = fields.get(field::EVACUATIONS);
            reply.holds_version_0 = fields.get(field::HOLDS_VERSION_0).unwrap_or_default();
        }
    }
}

#[cfg(test)]
mod tests {
    use fulmarweir_wire::{decode_peer_message, encode_peer_message};

    use super::*;

    fn handover(has_homes: bool) -> VmRequest {
        VmRequest::Search(Box::new(HandoverRequest {
            origin: "entry-1".into(),
            config_version: 1,
            route: "find".into(),
            sub_requests: vec![0],
            service: None,
            repeats: Vec::new(),
            is_last_resort: false,
            lent_extra: Vec::new(),
            fingerprint: RequestFingerprint::default(),
            method: "GET".to_owned(),
            uri: "/find/a".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            answer_in_ms: 100,
            time_left_ms: 1_000,
            has_homes,
            tenant_ordinal: 0,
        }))
    }

    /// Guards against a broker that was replaced by an older build, which would send the request to any
    /// region, after its version was last known.
    #[test]
    fn only_handovers_with_home_regions_need_the_newest_version() {
        assert_eq!(handover(true).version_min(), PeerVersion::V9);
        assert_eq!(handover(false).version_min(), PeerVersion::V8);
    }

    /// Guards against a broker that takes a request for one of another tenant of the same name.
    #[test]
    fn handovers_tell_tenants_of_one_name_apart() {
        let VmRequest::Search(mut request) = handover(false) else {
            unreachable!("it is a search");
        };
        request.tenant_ordinal = 2;
        let second = VmRequest::Search(request);
        assert_eq!(second.version_min(), PeerVersion::V9);
        let frame = encode_peer_message(&second, PeerVersion::V9).unwrap();
        let decoded: VmRequest = decode_peer_message(&frame, PeerVersion::V9).unwrap();
        assert_eq!(decoded, second);
    }

    /// Guards against a change of the version 8 message.
    #[test]
    fn home_regions_do_not_change_the_message() {
        let encoded = |has_homes| serde_json::to_string(&handover(has_homes)).unwrap();
        assert_eq!(encoded(true), encoded(false));
    }
}
