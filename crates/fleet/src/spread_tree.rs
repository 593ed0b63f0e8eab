//! The tree along which updates spread through a data centre.
//!
//! Each VM derives the tree from its own list of live members, which is rotated to make the
//! origin of the updates the root, and then rotated randomly below the root. If the lists of
//! VMs differ, a member may be skipped; a repair delivers the updates to it later.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_base::VmName;

use crate::VmIdentity;

/// Returns the peer addresses of the children of `own` in the tree of `origin`.
///
/// `turn` rotates all VMs but the root, so that successive updates of one origin load different
/// inner VMs.
pub(crate) fn tree_children(
    live: &[Arc<VmIdentity>],
    origin: &VmName,
    own: &VmName,
    turn: u32,
    fan_out: usize,
) -> Vec<SocketAddr> {
    let find = |name| live.binary_search_by(|vm| vm.name.cmp(name));
    let (Ok(root), Ok(position)) = (find(origin), find(own)) else {
        return Vec::new();
    };
    let count = live.len();
    let others = (count - 1).max(1);
    let turn = usize::try_from(turn).unwrap_or_default() % others;
    let rank = match (position + count - root) % count {
        0 => 0,
        offset => (offset - 1 + turn) % others + 1,
    };
    let first = rank * fan_out + 1;
    let children = first..(first + fan_out).min(count).max(first);
    let offsets = children.map(|child| (child - 1 + others - turn) % others + 1);
    offsets
        .map(|offset| live[(root + offset) % count].peers)
        .collect()
}
