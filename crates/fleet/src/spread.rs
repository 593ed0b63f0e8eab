//! The tree along which news runs through a data centre.
//!
//! Each VM derives the tree from its own list of live members, rotated so
//! that the origin of the news is the root. VMs with differing lists may skip
//! some member; the repair by digests covers it.

use std::{net::SocketAddr, sync::Arc};

use fulmarweir_base::VmName;

use crate::VmIdentity;

/// Peer addresses of the children of `own` in the tree of `origin`.
pub(crate) fn tree_children(
    live: &[Arc<VmIdentity>],
    origin: &VmName,
    own: &VmName,
    fan_out: usize,
) -> Vec<SocketAddr> {
    let find = |name| live.binary_search_by(|vm| vm.name.cmp(name));
    let (Ok(root), Ok(position)) = (find(origin), find(own)) else {
        return Vec::new();
    };
    let count = live.len();
    let rank = (position + count - root) % count;
    let first = rank * fan_out + 1;
    let children = first..(first + fan_out).min(count).max(first);
    children
        .map(|child| live[(root + child) % count].peers)
        .collect()
}
