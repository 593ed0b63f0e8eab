//! Messages between VMs. Each message is one-way; replies are separate messages.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_base::{CentreName, RegionName, TargetRecord, VmName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{CentreDigest, CentreUpdates};

/// Identity and addresses of a VM, fixed for the lifetime of its process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VmIdentity {
    /// Name of the VM, unique in the fleet.
    pub name: VmName,
    /// Data centre of the VM.
    pub centre: CentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Boot number of the process; a later start has a higher number.
    pub boot: u64,
    /// Address on which the VM accepts messages from other VMs.
    pub peers: SocketAddr,
    /// Address on which the VM accepts announcements of targets.
    pub targets: SocketAddr,
}

/// Status of a member. At equal incarnations, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberStatus {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member has left the fleet.
    Left,
}

/// An update about one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// Identity of the member.
    pub identity: Arc<VmIdentity>,
    /// Incarnation, raised by the member itself to refute the status that others report.
    pub incarnation: u64,
    /// Status of the member.
    pub status: MemberStatus,
}

/// The process that holds the lease of a target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeaseHolder {
    /// Name of the VM that runs the process.
    pub vm: VmName,
    /// Boot number of the process; leases do not survive a restart.
    pub boot: u64,
}

/// A change of one target, ordered by the target's incarnation and the revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetChange {
    /// The last announcement of the target.
    pub record: Arc<TargetRecord>,
    /// Holder of the lease.
    pub holder: LeaseHolder,
    /// Revision number within the incarnation of the target.
    pub revision: u64,
    /// Whether the lease has lapsed.
    pub gone: bool,
}

/// Version number and digest of a configuration.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ConfigStamp {
    /// Version number; version 0 is the empty text.
    pub version: u64,
    /// Digest of the text.
    pub digest: u64,
}

impl ConfigStamp {
    /// Returns the stamp of `text` as `version`. The digest is the first eight bytes of its
    /// SHA-256.
    #[must_use]
    pub fn of(version: u64, text: &str) -> Self {
        let hash = Sha256::digest(text.as_bytes());
        let digest = hash
            .iter()
            .take(8)
            .fold(0, |sum: u64, byte| sum << 8 | u64::from(*byte));
        Self { version, digest }
    }
}

/// Digests that every probe carries; a difference starts a repair.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateDigest {
    /// Digest of the live members.
    pub members: u64,
    /// Digest of the targets.
    pub targets: u64,
    /// Digest of the records of data centres.
    pub centres: u64,
    /// Configuration that the sender has applied.
    pub config: ConfigStamp,
}

/// A probe or its acknowledgement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeMessage {
    /// Sequence number, chosen by the prober and echoed by the acknowledgement.
    pub sequence: u64,
    /// Name of the sender.
    pub sender: VmName,
    /// Digests of the sender's tables.
    pub digest: StateDigest,
    /// Recent updates of members.
    pub updates: Vec<MemberUpdate>,
}

/// A request to probe a third VM, or the report that it acknowledged the probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IndirectProbe {
    /// Sequence number, echoed by the report.
    pub sequence: u64,
    /// Name of the VM to probe.
    pub target: VmName,
}

/// Updates that are forwarded along the spread tree of their origin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpreadUpdates {
    /// Name of the VM at the root of the tree.
    pub origin: VmName,
    /// Rotation of the VMs below the root.
    pub turn: u32,
    /// Updates of members.
    pub members: Vec<MemberUpdate>,
    /// Changes of targets.
    pub targets: Vec<TargetChange>,
    /// Records of data centres.
    pub centres: CentreUpdates,
}

/// Bucket digests of all tables, sent to a peer whose digests differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepairRequest {
    /// One digest per bucket of members.
    pub members: Vec<u64>,
    /// One digest per bucket of targets.
    pub targets: Vec<u64>,
    /// One digest per known data centre.
    pub centres: Vec<CentreDigest>,
}

/// All entries of the buckets whose digests differ.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepairEntries {
    /// Whether the receiver requested the entries, and should return its newer entries.
    pub wants_answer: bool,
    /// Buckets whose members are all included.
    pub member_buckets: Vec<u32>,
    /// Buckets whose targets are all included.
    pub target_buckets: Vec<u32>,
    /// Members of `member_buckets`.
    pub members: Vec<MemberUpdate>,
    /// Targets of `target_buckets`.
    pub targets: Vec<TargetChange>,
    /// Records of the data centres whose digests differ.
    pub centres: CentreUpdates,
}

/// Why a join was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JoinRefusal {
    /// A live VM has the same name.
    DuplicateName(Arc<VmIdentity>),
    /// An earlier start of the VM at the same address had this higher incarnation.
    StaleIncarnation(u64),
}

/// A probe from a contact of another data centre, or the answer to one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CentreProbe {
    /// Data centre of the sender.
    pub centre: CentreName,
    /// Whether the sender expects an answer.
    pub wants_answer: bool,
    /// Configuration that the sender has applied.
    pub config: ConfigStamp,
    /// One digest per data centre known to the sender.
    pub digests: Vec<CentreDigest>,
    /// Changed records, and records of the data centres whose digests differ.
    pub news: CentreUpdates,
}

/// A message from one VM to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetMessage {
    /// Requests membership.
    Join(MemberUpdate),
    /// Accepts a join; lists all members that the sender knows.
    Welcome(Vec<MemberUpdate>),
    /// Refuses a join.
    JoinRefused(JoinRefusal),
    /// Notifies a VM that the sender, which is older, has the same name.
    NameConflict(Arc<VmIdentity>),
    /// Requests an acknowledgement.
    Ping(ProbeMessage),
    /// Acknowledges a ping.
    Ack(ProbeMessage),
    /// Requests an indirect probe.
    ProbeFor(IndirectProbe),
    /// Reports that an indirect probe was acknowledged.
    ProbedFor(IndirectProbe),
    /// Updates for the receiver and its descendants in the spread tree.
    Spread(SpreadUpdates),
    /// Requests a repair.
    Repair(RepairRequest),
    /// Carries the entries of a repair.
    Entries(RepairEntries),
    /// Announces the configuration that the sender has applied.
    ConfigNews(ConfigStamp),
    /// Carries records between data centres.
    Centre(CentreProbe),
}
