//! Which protocol version each peer speaks, from the replies of calls to it.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use fulmarweir_base::lock;

use crate::message::PeerVersion;

/// How long the version of a peer counts as known after its last reply, in seconds.
///
/// A voter that is down must not block an order that needs all voters to speak a version: long
/// before this time another keeper has replaced it.
const KNOWN_FOR_S: u64 = 600;

/// The version that a peer used in its last reply.
#[derive(Clone, Copy, Debug)]
struct KnownVersion {
    version: PeerVersion,
    /// Number of the connection of that reply. Later connections have higher numbers.
    connection: u64,
    replied_at: Instant,
}

/// The versions of all peers that have replied, by address.
#[derive(Debug, Default)]
pub(crate) struct PeerVersionTable {
    peers: Mutex<HashMap<SocketAddr, KnownVersion>>,
}

impl PeerVersionTable {
    /// Records a reply in `version`.
    ///
    /// A process that shuts down may reply after its successor at the same address, on an earlier
    /// connection; such a reply says nothing of the successor and is not recorded.
    pub(crate) fn record(
        &self,
        peer: SocketAddr,
        connection: u64,
        version: PeerVersion,
        now: Instant,
    ) {
        let mut peers = lock(&self.peers);
        let is_outdated = peers
            .get(&peer)
            .is_some_and(|known| known.connection > connection);
        if !is_outdated {
            let known = KnownVersion {
                version,
                connection,
                replied_at: now,
            };
            peers.insert(peer, known);
        }
    }

    /// Removes the version of a peer that has refused it on this connection or an earlier one.
    pub(crate) fn forget(&self, peer: SocketAddr, connection: u64) {
        let mut peers = lock(&self.peers);
        if peers
            .get(&peer)
            .is_some_and(|known| known.connection <= connection)
        {
            peers.remove(&peer);
        }
    }

    pub(crate) fn version_of(&self, peer: SocketAddr, now: Instant) -> Option<PeerVersion> {
        let known = lock(&self.peers).get(&peer).copied()?;
        is_current(&known, now).then_some(known.version)
    }

    /// Returns all known versions, and removes those of peers that have long been silent.
    pub(crate) fn current(&self, now: Instant) -> BTreeMap<SocketAddr, PeerVersion> {
        let mut peers = lock(&self.peers);
        peers.retain(|_, known| is_current(known, now));
        let versions = peers.iter().map(|(peer, known)| (*peer, known.version));
        versions.collect()
    }
}

fn is_current(known: &KnownVersion, now: Instant) -> bool {
    now.saturating_duration_since(known.replied_at) < Duration::from_secs(KNOWN_FOR_S)
}

#[cfg(test)]
mod tests {
    use super::*;

    const PEER: SocketAddr =
        SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7904);

    /// Guards against a late reply of a process that shuts down, which hides that an older build has
    /// taken over its address.
    #[test]
    fn a_reply_on_an_earlier_connection_does_not_change_the_version() {
        let (table, now) = (PeerVersionTable::default(), Instant::now());
        table.record(PEER, 1, PeerVersion::V9, now);
        table.record(PEER, 2, PeerVersion::V8, now);
        table.record(PEER, 1, PeerVersion::V9, now);
        assert_eq!(table.version_of(PEER, now), Some(PeerVersion::V8));
        table.forget(PEER, 1);
        assert_eq!(table.version_of(PEER, now), Some(PeerVersion::V8));
    }

    /// Guards against a peer that counts as speaking version 9 although it has refused that version.
    #[test]
    fn a_refusal_makes_the_version_unknown() {
        let (table, now) = (PeerVersionTable::default(), Instant::now());
        table.record(PEER, 1, PeerVersion::V9, now);
        table.forget(PEER, 2);
        assert_eq!(table.version_of(PEER, now), None);
    }

    /// Guards against VMs that are gone and are counted forever.
    #[test]
    fn the_version_of_a_silent_peer_becomes_unknown() {
        let (table, now) = (PeerVersionTable::default(), Instant::now());
        table.record(PEER, 1, PeerVersion::V9, now);
        let limit = Duration::from_secs(KNOWN_FOR_S);
        let before = now + limit.saturating_sub(Duration::from_secs(1));
        assert_eq!(table.version_of(PEER, before), Some(PeerVersion::V9));
        assert_eq!(table.current(before).len(), 1);
        assert_eq!(table.version_of(PEER, now + limit), None);
        assert!(table.current(now + limit).is_empty());
    }
}
