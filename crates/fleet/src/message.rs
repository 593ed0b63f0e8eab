//! Messages between VMs. Each is one-way; an answer is a message of its own.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_base::{CentreName, RegionName, TargetRecord, VmName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{CentreDigest, CentreUpdates};

/// Who a VM is and where it listens, fixed for the life of its process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VmIdentity {
    /// Name, unique in the fleet.
    pub name: VmName,
    /// Data centre that it stands in.
    pub centre: CentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Number of this start of the process; a later start has a higher one.
    pub boot: u64,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for announcements.
    pub targets: SocketAddr,
}

/// What is believed of a VM. At equal incarnations a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberStatus {
    /// Answers probes.
    Alive,
    /// Did not answer a probe and has not yet refuted the suspicion.
    Suspect,
    /// Did not refute a suspicion in time.
    Dead,
    /// Left of its own accord.
    Left,
}

/// News of one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The VM.
    pub identity: Arc<VmIdentity>,
    /// Raised by the VM itself to refute what others believe of it.
    pub incarnation: u64,
    /// What is believed of it.
    pub status: MemberStatus,
}

/// The process that holds the lease of a target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeaseHolder {
    /// Name of the VM.
    pub vm: VmName,
    /// Start of its process; leases do not survive a restart.
    pub boot: u64,
}

/// A numbered change of one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetChange {
    /// The last announcement.
    pub record: Arc<TargetRecord>,
    /// Who holds the lease.
    pub holder: LeaseHolder,
    /// Number of this change within the incarnation of the target.
    pub revision: u64,
    /// Whether the lease has lapsed.
    pub gone: bool,
}

/// Number and digest of a configuration.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ConfigStamp {
    /// Version number; 0 is the empty text.
    pub version: u64,
    /// Digest of the text.
    pub digest: u64,
}

impl ConfigStamp {
    /// The stamp of `text` as `version`: the first eight bytes of its SHA-256.
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

/// Digests that ride on every probe; a difference starts a repair.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateDigest {
    /// Digest of the live members.
    pub members: u64,
    /// Digest of the targets.
    pub targets: u64,
    /// Digest of what is known of data centres.
    pub centres: u64,
    /// Configuration in force.
    pub config: ConfigStamp,
}

/// A probe or its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeMessage {
    /// Chosen by the prober, echoed by the answer.
    pub sequence: u64,
    /// Name of the sender.
    pub sender: VmName,
    /// State of the sender.
    pub digest: StateDigest,
    /// Recent news of members.
    pub updates: Vec<MemberUpdate>,
}

/// A request to probe a third VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IndirectProbe {
    /// Echoed by the answer.
    pub sequence: u64,
    /// VM to probe.
    pub target: VmName,
}

/// News that runs down the spreading tree of its origin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpreadUpdates {
    /// Root of the tree.
    pub origin: VmName,
    /// Rotation of the other VMs in the tree.
    pub turn: u32,
    /// Changes of members.
    pub members: Vec<MemberUpdate>,
    /// Changes of targets.
    pub targets: Vec<TargetChange>,
    /// Changes of data centres.
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

/// All entries of the buckets that differ.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepairEntries {
    /// Whether the receiver asked for them, and should send its newer entries in return.
    pub wants_answer: bool,
    /// Buckets of members that are listed in full.
    pub member_buckets: Vec<u32>,
    /// Buckets of targets that are listed in full.
    pub target_buckets: Vec<u32>,
    /// Members of these buckets.
    pub members: Vec<MemberUpdate>,
    /// Targets of these buckets.
    pub targets: Vec<TargetChange>,
    /// Records of the data centres that differ.
    pub centres: CentreUpdates,
}

/// Why a VM was not let in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JoinRefusal {
    /// A live VM has the same name.
    DuplicateName(Arc<VmIdentity>),
    /// A former self at the same address had a higher incarnation.
    StaleIncarnation(u64),
}

/// Word from a contact of another data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CentreProbe {
    /// Data centre of the sender.
    pub centre: CentreName,
    /// Whether an answer is expected.
    pub wants_answer: bool,
    /// Configuration in force at the sender.
    pub config: ConfigStamp,
    /// One digest per data centre known to the sender.
    pub digests: Vec<CentreDigest>,
    /// Changes, and records of the data centres whose digests differ.
    pub news: CentreUpdates,
}

/// Everything that one VM tells another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetMessage {
    /// Asks to be a member.
    Join(MemberUpdate),
    /// Answers an accepted join with all members that the sender knows.
    Welcome(Vec<MemberUpdate>),
    /// Answers a join that was not accepted.
    JoinRefused(JoinRefusal),
    /// Tells a VM that the sender, which is older, has the same name.
    NameConflict(Arc<VmIdentity>),
    /// Asks for an acknowledgement.
    Ping(ProbeMessage),
    /// Acknowledges a ping.
    Ack(ProbeMessage),
    /// Asks for an indirect probe.
    ProbeFor(IndirectProbe),
    /// Says that an indirect probe was acknowledged.
    ProbedFor(IndirectProbe),
    /// News for the receiver and its children in the tree.
    Spread(SpreadUpdates),
    /// Starts a repair.
    Repair(RepairRequest),
    /// Entries of a repair.
    Entries(RepairEntries),
    /// A configuration that the sender has in force.
    ConfigNews(ConfigStamp),
    /// Word between data centres.
    Centre(CentreProbe),
}
