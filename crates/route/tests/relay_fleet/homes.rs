//! Requests of the model that have home regions, and the regions of its VMs and targets.

use std::collections::{BTreeMap, BTreeSet};

use fulmarweir_route::{Locality, PlacementRule, ShardGroup};

use super::{Fleet, ModelRequest, TARGET_CENTRE, at, search_params};

/// Returns the region of a data centre of the model.
pub(crate) fn region_of(centre: &str) -> &'static str {
    match centre {
        "c" | "d" => "south",
        _ => "north",
    }
}

/// Returns how far a data centre is from one of its VMs.
pub(super) fn locality(from: &str, to: &str) -> Locality {
    if from == to {
        Locality::Centre
    } else if region_of(from) == region_of(to) {
        Locality::Region
    } else {
        Locality::Far
    }
}

/// Where targets are, and which VMs have got the requests that have home regions.
#[derive(Default)]
pub(crate) struct HomeModel {
    /// The data centres of the targets of each shard, in turn; all in `b` if empty.
    pub(crate) target_centres: Vec<&'static str>,
    /// Shards without a target in a region.
    pub(crate) without: Vec<(usize, &'static str)>,
    /// VMs with an old build, which does not know home regions.
    pub(crate) old_vms: BTreeSet<usize>,
    rules: BTreeMap<u64, PlacementRule>,
    /// Requests that were handed over, with the region of the VM that got them.
    bodies: Vec<(u64, &'static str)>,
}

impl HomeModel {
    pub(super) fn centre_of(&self, shard: usize, number: usize) -> Option<&'static str> {
        let count = self.target_centres.len().max(1);
        let centre = self.target_centres.get(number % count);
        let centre = centre.copied().unwrap_or(TARGET_CENTRE);
        let is_without = self.without.contains(&(shard, region_of(centre)));
        (!is_without).then_some(centre)
    }

    pub(super) fn admit(&mut self, vm: usize, request: u64, placement: &PlacementRule) {
        // An old build serves its own callers without home regions.
        if !placement.is_unrestricted() && !self.old_vms.contains(&vm) {
            self.rules.insert(request, placement.clone());
        }
    }

    pub(super) fn record_body(&mut self, request: u64, region: &'static str) {
        self.bodies.push((request, region));
    }

    /// Returns the number of requests with home regions that were handed over.
    pub(crate) fn handed_over(&self) -> usize {
        let restricted = self.bodies.iter();
        restricted
            .filter(|(request, _)| self.rules.contains_key(request))
            .count()
    }
}

impl Fleet {
    /// Whether a VM may be given a request with these home regions.
    pub(super) fn may_take(&self, vm: usize, placement: &PlacementRule) -> bool {
        let region = region_of(self.vms[vm].centre);
        placement.allows_vm(region, || !self.homes.old_vms.contains(&vm))
    }

    /// Returns the group of a search that is handed over, and the broker that takes it.
    pub(super) fn home_handover(
        &self,
        vm: usize,
        sent: &ModelRequest,
    ) -> Option<(usize, ShardGroup)> {
        let services = search_params().services;
        let now = at(self.now_ms);
        let selector = &self.vms[vm].selector;
        let group = selector
            .shard_groups(&services, &sent.placement, now)
            .into_iter()
            .next()?;
        let count = self.vms.len();
        let mut others = (1..count).map(|step| (vm + step) % count);
        let broker = others.find(|other| {
            let broker = &self.vms[*other];
            broker.up && *broker.centre == *group.centre && self.may_take(*other, &sent.placement)
        })?;
        Some((broker, group))
    }

    /// Checks that no request has arrived at a target, or at a VM but the one of its caller, outside of
    /// its home regions.
    pub(crate) fn assert_within_homes(&self) {
        for arrival in self.arrivals.values().flatten() {
            if let Some(rule) = self.homes.rules.get(&arrival.request) {
                assert!(
                    rule.allows(&arrival.region),
                    "request {} for {rule:?} reached {} in {} at {} ms",
                    arrival.request,
                    arrival.target,
                    arrival.region,
                    arrival.at_ms
                );
            }
        }
        for (request, region) in &self.homes.bodies {
            if let Some(rule) = self.homes.rules.get(request) {
                assert!(
                    rule.allows(region),
                    "request {request} for {rule:?} went to a VM in {region}"
                );
            }
        }
    }

    /// Returns the number of arrivals at targets of requests with home regions.
    pub(crate) fn home_arrivals(&self) -> usize {
        let all = self.arrivals.values().flatten();
        all.filter(|arrival| self.homes.rules.contains_key(&arrival.request))
            .count()
    }

    /// Returns the requests that reached a target.
    pub(crate) fn arrived_requests(&self) -> BTreeSet<u64> {
        let all = self.arrivals.values().flatten();
        all.map(|arrival| arrival.request).collect()
    }
}
