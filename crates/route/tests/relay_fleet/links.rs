//! VMs of the model that lose their links to all targets, and how they find out.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use fulmarweir_route::{
    GroupOutcome, LinkExamination, LinkState, LinkTask, RelayAttemptOutcome, RelayParams,
    RequestOrigin,
};

use super::{
    DEADLINE_MS, Event, Fleet, HANDOVER_MARGIN_MS, SOFT_DEADLINE_MS, VM_DELAY_MS, at,
    target_address,
};

/// Period in which VMs check their links.
const CHECK_MS: u64 = 25;
/// Time that the probes of an examination take, here and at other VMs.
const PROBES_MS: u64 = 120;

/// An event of the links.
#[derive(Clone, Copy, Debug)]
pub(super) enum LinkEvent {
    /// A VM checks its links.
    Check(usize),
    /// The probes of a VM have ended.
    Probed(usize, LinkTask),
}

/// Which VMs have lost their links, and which targets accept no connections.
#[derive(Default)]
pub(crate) struct LinkModel {
    pub(crate) cut: BTreeSet<usize>,
    /// Time spans in which all targets of a shard are down: shard, from, until.
    pub(crate) down: Vec<(usize, u64, u64)>,
    /// Whether each attempt opens a connection, as at VMs that are rarely used.
    pub(crate) opens_new: bool,
    /// Requests that were handed over because links were lost.
    pub(crate) handovers: usize,
    /// VMs that have believed that their links are lost.
    pub(crate) believed_lost: BTreeSet<usize>,
}

impl Fleet {
    /// Lets VMs watch their links.
    pub(crate) fn with_links(mut self) -> Self {
        for vm in 0..self.vms.len() {
            let first_ms = 1 + (vm as u64 * 7) % CHECK_MS;
            self.schedule(first_ms, Event::Link(LinkEvent::Check(vm)));
        }
        self
    }

    /// Whether a target of a shard accepts connections.
    pub(super) fn listens(&self, shard: usize) -> bool {
        let mut down = self.links.down.iter();
        !down.any(|(of, from_ms, until_ms)| {
            *of == shard && (*from_ms..*until_ms).contains(&self.now_ms)
        })
    }

    /// Returns the number of VMs whose links are lost, as they believe.
    pub(crate) fn lost_count(&self) -> usize {
        let are_unusable = |vm: &&super::ModelVm| vm.selector.links().are_unusable();
        self.vms.iter().filter(are_unusable).count()
    }

    pub(super) fn handle_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Check(vm) => {
                self.schedule(self.now_ms + CHECK_MS, Event::Link(LinkEvent::Check(vm)));
                let now = at(self.now_ms);
                if let Some(task) = self.vms[vm].selector.next_link_task(now) {
                    let probed = Event::Link(LinkEvent::Probed(vm, task));
                    self.schedule(self.now_ms + PROBES_MS, probed);
                }
            }
            LinkEvent::Probed(vm, task) => self.end_probes(vm, task),
        }
    }

    fn end_probes(&mut self, vm: usize, task: LinkTask) {
        let now = at(self.now_ms);
        let wanted = match task {
            LinkTask::Examine(suspicion) => suspicion.wanted,
            LinkTask::ProbeReturn { wanted, .. } => wanted,
        };
        let sample = self.vms[vm].selector.link_sample(wanted, self.next_id, now);
        let shard_of = |address| {
            let number =
                (0..super::SHARDS * 100).find(|n| target_address(n / 100, n % 100) == address);
            number.expect("a known target") / 100
        };
        let listening = sample
            .iter()
            .filter(|t| self.listens(shard_of(t.address)))
            .count();
        let connected = if self.links.cut.contains(&vm) {
            0
        } else {
            listening
        };
        let change = match task {
            LinkTask::ProbeReturn { .. } => {
                let selector = &mut self.vms[vm].selector;
                selector.record_return_probe(sample.len(), connected, now)
            }
            LinkTask::Examine(_) => {
                let others = (0..self.vms.len()).filter(|other| {
                    *other != vm
                        && !self.links.cut.contains(other)
                        && !self.vms[*other].selector.links().are_doubtful()
                });
                let witnesses = others.count();
                let found = LinkExamination {
                    probed: sample.len(),
                    connected,
                    replied: connected,
                    connected_by_others: if witnesses > 0 { listening } else { 0 },
                    replied_by_others: if witnesses > 0 { listening } else { 0 },
                    witnesses,
                };
                self.vms[vm].selector.record_examination(found, now)
            }
        };
        if change.is_some_and(|c| matches!(c.after, LinkState::Lost | LinkState::TargetsDown)) {
            self.links.believed_lost.insert(vm);
            self.end_unsent_attempts(vm);
            let of_vm = self.runs.iter().filter(|(_, run)| run.vm == vm);
            let runs: BTreeSet<u64> = of_vm.map(|(id, _)| *id).collect();
            for id in runs {
                let run = self.runs.get_mut(&id).expect("runs are kept");
                let actions = run.run.on_links_lost(&mut self.vms[vm].selector, now);
                self.perform(id, actions);
            }
        }
    }

    /// Ends the attempts of a VM that wait for a connection.
    fn end_unsent_attempts(&mut self, vm: usize) {
        let is_unsent = |event: &Event| match event {
            Event::AttemptEnd(id, _, _, RelayAttemptOutcome::Unreachable, _) => {
                self.runs[id].vm == vm
            }
            _ => false,
        };
        let unsent = self.events.iter().filter(|(_, event)| is_unsent(event));
        let unsent: Vec<u64> = unsent.map(|(id, _)| *id).collect();
        for id in unsent {
            let event = self.events.remove(&id).expect("listed above");
            self.handle(event);
        }
    }

    /// Hands a group of a run over to the next VM that has shown that it reaches targets.
    pub(super) fn hand_to_helper(&mut self, id: u64, group: usize) {
        self.links.handovers += 1;
        let run = &self.runs[&id];
        let (origin_vm, request, path) = (run.vm, run.request, run.path.clone());
        let started_ms = run.started_at.as_micros() / 1_000;
        let members = run.run.handover_group(group).sub_requests.clone();
        let position = |outer: usize| members.iter().position(|member| *member == outer);
        let mut repeats = run.run.repeats_in(group);
        for repeat in &mut repeats {
            repeat.sub_request = position(repeat.sub_request).expect("a member of the group");
        }
        let all_services = run.run.services();
        let is_search = all_services.len() > 1;
        let services: Vec<Arc<str>> = members
            .iter()
            .map(|member| Arc::clone(&all_services[*member]))
            .collect();
        let placement = run.params.placement.clone();
        let count = self.vms.len();
        let step = usize::try_from(self.next_id).expect("few events");
        let order = (0..count).map(|number| (step + number) % count);
        let helper = order.into_iter().find(|vm| {
            let selector = &self.vms[*vm].selector;
            let has_links = !self.links.cut.contains(vm) && !selector.links().are_unusable();
            *vm != origin_vm && self.vms[*vm].up && has_links && self.may_take(*vm, &placement)
        });
        let Some(helper) = helper else {
            let none = Event::GroupEnd(id, group, GroupOutcome::default());
            return self.schedule(self.now_ms + VM_DELAY_MS, none);
        };
        let now = at(self.now_ms);
        let lent_extra = self.vms[origin_vm].selector.lend_extra(&services, now);
        let soft = at((started_ms + SOFT_DEADLINE_MS).saturating_sub(HANDOVER_MARGIN_MS));
        let params = RelayParams {
            origin: RequestOrigin::OtherVm { repeats },
            is_handover: is_search,
            lent_extra,
            services,
            soft_deadline: soft,
            deadline: if is_search {
                soft
            } else {
                at(started_ms + DEADLINE_MS)
            },
            hedge_delay: Duration::from_millis(super::HEDGE_DELAY_MS),
            handover_groups: Vec::new(),
            ..self.runs[&id].params.clone()
        };
        self.start_run(helper, request, &path, params, Some((id, group)));
    }
}

impl Fleet {
    /// Checks that each request has run on this many targets of each shard at most.
    pub(crate) fn assert_targets_max(&self, targets_max: usize) {
        for (service, arrivals) in &self.arrivals {
            let mut targets: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
            for arrival in arrivals.iter().filter(|arrival| !arrival.is_refused) {
                let of_request = targets.entry(arrival.request).or_default();
                of_request.insert(&arrival.target);
            }
            let over = targets.iter().find(|(_, on)| on.len() > targets_max);
            assert_eq!(over, None, "{service}");
        }
    }

    /// Checks that no act has arrived at targets more than once.
    pub(crate) fn assert_acts_run_once(&self) {
        let acts = self.outcomes.iter().filter(|outcome| outcome.is_act);
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        let all = self.arrivals.values().flatten();
        for arrival in all.filter(|arrival| !arrival.is_refused) {
            *counts.entry(arrival.request).or_default() += 1;
        }
        for act in acts {
            let count = counts.get(&act.request).copied().unwrap_or_default();
            assert!(count <= 1, "an act has run {count} times");
        }
    }

    /// Checks that what was refused as not run has not run.
    pub(crate) fn assert_not_run_is_true(&self) {
        let all = self.arrivals.values().flatten();
        let run = all.filter(|arrival| !arrival.is_refused);
        let arrived: BTreeSet<u64> = run.map(|arrival| arrival.request).collect();
        let refused = self.outcomes.iter().filter(|outcome| outcome.not_run);
        let untrue = refused.filter(|outcome| arrived.contains(&outcome.request));
        assert_eq!(untrue.count(), 0);
    }
}
