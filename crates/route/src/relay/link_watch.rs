//! Whether this VM still has its links to targets.
//!
//! Load pattern: a VM loses its links to all targets at once, while its callers and the other VMs still
//! reach it. Its own attempts look the same as if all targets were down or slow, so they only raise a
//! suspicion. It takes connections to targets that fail here and succeed from another VM to tell
//! the two apart.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use fulmarweir_base::MonoTime;

use super::link_state::{
    LinkChange, LinkEvidence, LinkExamination, LinkState, LinkSuspicion, LinkTask,
};

/// Time without any reply after which an attempt counts as silent, in milliseconds.
const SILENT_AFTER_MS: u64 = 100;
/// Different targets that must be silent, or refuse connections, for a suspicion. A single one pauses
/// or has crashed.
const SUSPECT_TARGETS: usize = 3;
/// Time without any reply after which a single silent target is enough, in milliseconds: a VM with few
/// requests has no others in flight.
const LONE_SILENT_AFTER_MS: u64 = 400;
/// Time for which a failed connection counts, in milliseconds.
const CONNECT_FAILURE_TTL_MS: u64 = 1_000;
/// A longer gap between two checks means that this VM itself did not run, in milliseconds.
const CHECK_GAP_MAX_MS: u64 = 100;
/// Pause after a suspicion of several targets that was unfounded, in milliseconds: links may be lost
/// right after it.
const CLEARED_PAUSE_MS: u64 = 1_000;
/// First and longest pause after a suspicion of a single target that was unfounded, in milliseconds;
/// doubles.
const LONE_PAUSE_MIN_MS: u64 = 1_000;
const LONE_PAUSE_MAX_MS: u64 = 8_000;
/// Pause until targets that accept connections but are silent are examined with a request, in
/// milliseconds.
const REQUEST_PAUSE_MS: u64 = 100;
/// Examinations in a row in which targets accept the connections of this VM and reply only to others,
/// after which the links are lost.
const SILENT_EXAMINATIONS: u32 = 2;
/// First and longest pause after an examination without a result, in milliseconds; doubles.
const UNCLEAR_PAUSE_MIN_MS: u64 = 250;
const UNCLEAR_PAUSE_MAX_MS: u64 = 2_000;
/// Examinations in a row that reach no target from any VM, after which targets count as out of reach
/// for all.
const DOWN_AFTER_EXAMINATIONS: u32 = 3;
/// Period of the examinations while no VM reaches a target, in milliseconds.
const DOWN_PERIOD_MS: u64 = 500;
/// Period of the probes while links are lost, in milliseconds.
const RETURN_PROBE_PERIOD_MS: u64 = 250;
/// Rounds of probes in a row that must succeed before links count as regained, and at most, if they
/// come and go.
const RETURN_ROUNDS_MIN: u32 = 2;
const RETURN_ROUNDS_MAX: u32 = 8;
/// Links that are lost again within this time come and go, in milliseconds.
const FLAP_PERIOD_MS: u64 = 10_000;
/// Time after the return of the links over which this VM takes up its requests again, in milliseconds.
///
/// Load pattern: all connections must be opened anew, and each takes a slot of its target.
const RETURN_RAMP_MS: u64 = 1_000;
/// Targets that an examination probes, and a round of probes while links are lost.
const EXAMINED_TARGETS: usize = 4;
const PROBED_TARGETS: usize = 3;
/// Targets that an examination probes once no VM was found to reach any.
const DOWN_EXAMINED_TARGETS: usize = 12;

/// Watches the attempts of this VM at all targets.
#[derive(Debug)]
pub struct LinkWatch {
    state: LinkState,
    /// Addresses and send times of the attempts in flight.
    in_flight: Vec<(SocketAddr, MonoTime)>,
    last_reply_at: MonoTime,
    /// Targets whose attempts ended without a reply, and that were sent since the last reply of any.
    failed: HashSet<SocketAddr>,
    /// Targets to which no connection could be opened, and when.
    unconnected: HashMap<SocketAddr, MonoTime>,
    checked_at: MonoTime,
    /// Since when this VM has run without a gap.
    running_since: MonoTime,
    /// Whether a task was handed out and has not ended.
    is_busy: bool,
    next_task_at: MonoTime,
    /// Since when the links are suspected.
    suspected_at: MonoTime,
    /// Whether several targets are suspects. A single one is slow, more likely.
    is_common: bool,
    /// Until when a single suspect is not examined.
    lone_paused_until: MonoTime,
    /// Whether connections can be opened, so that only a reply shows that there is a link.
    needs_reply: bool,
    /// Examinations in a row in which targets replied to other VMs only.
    silent_count: u32,
    /// Unfounded suspicions of a single target, and examinations without a result, each in a row.
    lone_count: u32,
    unclear_count: u32,
    /// When the links were lost, and the last time that they returned.
    lost_since: MonoTime,
    returned_at: Option<MonoTime>,
    /// Since when requests are taken up again that other VMs have run meanwhile.
    resumed_at: Option<MonoTime>,
    return_rounds: u32,
    return_rounds_needed: u32,
}

impl Default for LinkWatch {
    fn default() -> Self {
        Self {
            state: LinkState::Up,
            in_flight: Vec::new(),
            last_reply_at: MonoTime::ZERO,
            failed: HashSet::new(),
            unconnected: HashMap::new(),
            checked_at: MonoTime::ZERO,
            running_since: MonoTime::ZERO,
            is_busy: false,
            next_task_at: MonoTime::ZERO,
            suspected_at: MonoTime::ZERO,
            is_common: false,
            lone_paused_until: MonoTime::ZERO,
            needs_reply: false,
            silent_count: 0,
            lone_count: 0,
            unclear_count: 0,
            lost_since: MonoTime::ZERO,
            returned_at: None,
            resumed_at: None,
            return_rounds: 0,
            return_rounds_needed: RETURN_ROUNDS_MIN,
        }
    }
}

impl LinkWatch {
    /// Returns what this VM believes of its links.
    #[must_use]
    pub const fn state(&self) -> LinkState {
        self.state
    }

    /// Whether links are lost and no target has replied since, on a kept connection either.
    #[must_use]
    pub(crate) fn are_silent(&self) -> bool {
        self.state == LinkState::Lost && self.last_reply_at <= self.lost_since
    }

    /// Whether only a reply shows that there is a link, since connections can be opened all the same.
    #[must_use]
    pub const fn needs_reply(&self) -> bool {
        self.needs_reply
    }

    /// Whether requests must not be sent to targets from this VM.
    #[must_use]
    pub const fn are_unusable(&self) -> bool {
        matches!(self.state, LinkState::Lost | LinkState::TargetsDown)
    }

    /// Whether what fails now may be the fault of the links, so that it must not be told to others.
    ///
    /// If no VM reaches a target, the targets are down, whatever has ended them.
    #[must_use]
    pub const fn are_doubtful(&self) -> bool {
        matches!(self.state, LinkState::Suspected | LinkState::Lost)
    }

    /// Whether a request is to be handed over to another VM. `spread` is a random number from 0 to
    /// 1: after the return of the links, a growing part of the requests is not handed over.
    #[must_use]
    pub fn hands_over(&self, spread: f64, now: MonoTime) -> bool {
        let ramp = Duration::from_millis(RETURN_RAMP_MS);
        let share = |at: MonoTime| now.since(at).as_secs_f64() / ramp.as_secs_f64();
        self.state == LinkState::Lost || self.resumed_at.is_some_and(|at| spread >= share(at))
    }

    /// Whether an attempt was in flight while the links were lost, so that its failure says nothing about
    /// its target.
    #[must_use]
    pub(crate) fn overlaps_loss(&self, sent_at: MonoTime, now: MonoTime) -> bool {
        if self.are_unusable() {
            return now >= self.lost_since;
        }
        self.returned_at
            .is_some_and(|returned_at| sent_at <= returned_at && now >= self.lost_since)
    }

    pub(crate) fn attempt_sent(&mut self, address: SocketAddr, now: MonoTime) {
        self.in_flight.push((address, now));
    }

    pub(crate) fn attempt_ended(
        &mut self,
        address: SocketAddr,
        sent_at: MonoTime,
        evidence: LinkEvidence,
        now: MonoTime,
    ) {
        let is_same = |attempt: &(SocketAddr, MonoTime)| *attempt == (address, sent_at);
        if let Some(index) = self.in_flight.iter().rposition(is_same) {
            self.in_flight.swap_remove(index);
        }
        let is_silent = now.since(sent_at) >= Duration::from_millis(SILENT_AFTER_MS);
        match evidence {
            LinkEvidence::Reply => {
                self.last_reply_at = now;
                self.failed.clear();
                self.unconnected.remove(&address);
            }
            LinkEvidence::NoConnection => {
                self.unconnected.insert(address, now);
                if sent_at >= self.last_reply_at {
                    self.failed.insert(address);
                }
            }
            LinkEvidence::Broken if sent_at >= self.last_reply_at => {
                self.failed.insert(address);
            }
            LinkEvidence::GivenUp if is_silent && sent_at >= self.last_reply_at => {
                self.failed.insert(address);
            }
            LinkEvidence::Broken | LinkEvidence::GivenUp | LinkEvidence::None => {}
        }
    }

    /// Returns what is due now, of `targets` known targets. The caller must report the end of each task.
    pub fn next_task(&mut self, targets: usize, now: MonoTime) -> Option<LinkTask> {
        if now.since(self.checked_at) > Duration::from_millis(CHECK_GAP_MAX_MS) {
            self.running_since = now;
        }
        self.checked_at = now;
        if self.is_busy || now < self.next_task_at || targets == 0 {
            return None;
        }
        let task = match self.state {
            LinkState::Lost => LinkTask::ProbeReturn {
                wanted: PROBED_TARGETS.min(targets),
                with_request: self.needs_reply,
            },
            LinkState::Up | LinkState::Suspected | LinkState::TargetsDown => {
                LinkTask::Examine(self.suspicion(targets, now)?)
            }
        };
        if self.state == LinkState::Up {
            self.state = LinkState::Suspected;
            self.suspected_at = now;
            let unconnected = self.unconnected.values().copied();
            self.lost_since = unconnected.fold(self.last_reply_at, MonoTime::min);
        }
        self.is_busy = true;
        Some(task)
    }

    /// Returns why links are suspected, if they are.
    fn suspicion(&mut self, targets: usize, now: MonoTime) -> Option<LinkSuspicion> {
        let ttl = Duration::from_millis(CONNECT_FAILURE_TTL_MS);
        self.unconnected.retain(|_, at| now.since(*at) < ttl);
        let needed = SUSPECT_TARGETS.min(targets);
        let silent = self.silent_targets(SILENT_AFTER_MS, now);
        let is_common = silent.max(self.unconnected.len()) >= needed;
        let is_lone =
            now >= self.lone_paused_until && self.silent_targets(LONE_SILENT_AFTER_MS, now) > 0;
        let is_founded = is_common || is_lone;
        self.is_common = is_common;
        // While nothing is sent, only probes tell.
        if !is_founded && self.state != LinkState::TargetsDown {
            if self.state == LinkState::Suspected {
                self.clear(now);
            }
            return None;
        }
        let wanted = match (self.state, self.unclear_count) {
            (LinkState::TargetsDown, _) => DOWN_EXAMINED_TARGETS,
            (_, 0) => EXAMINED_TARGETS,
            _ => DOWN_EXAMINED_TARGETS,
        };
        Some(LinkSuspicion {
            silent,
            unconnected: self.unconnected.len(),
            silence: now.since(self.last_reply_at),
            wanted: wanted.min(targets),
            with_request: self.needs_reply,
        })
    }

    /// Returns the number of targets that were sent attempts since the last reply and have not replied
    /// for `after_ms` milliseconds.
    fn silent_targets(&self, after_ms: u64, now: MonoTime) -> usize {
        let silent_after = Duration::from_millis(after_ms);
        if now.since(self.last_reply_at) < silent_after {
            return 0;
        }
        let is_silent = |(_, sent_at): &&(SocketAddr, MonoTime)| {
            *sent_at >= self.last_reply_at
                && now.since((*sent_at).max(self.running_since)) >= silent_after
        };
        let silent = self.in_flight.iter().filter(is_silent);
        let mut targets: HashSet<&SocketAddr> = silent.map(|(address, _)| address).collect();
        targets.extend(&self.failed);
        targets.len()
    }

    /// Returns the addresses of targets that do not reply or refuse connections.
    pub(crate) fn suspects(&self) -> HashSet<SocketAddr> {
        let sent = self.in_flight.iter().map(|(address, _)| *address);
        let failed = self.failed.iter().chain(self.unconnected.keys()).copied();
        sent.chain(failed).collect()
    }

    /// Records the result of [`LinkTask::Examine`]; returns the change of state, if there is one.
    pub fn record_examination(
        &mut self,
        found: LinkExamination,
        now: MonoTime,
    ) -> Option<LinkChange> {
        self.is_busy = false;
        let before = self.state;
        let since = self.lost_since;
        if found.probed == 0 {
            // All targets want few requests, so they have replied a moment ago.
            self.clear(now);
            return self.change_from(before, since);
        }
        let has_replied = found.replied > 0 || self.last_reply_at > self.suspected_at;
        let shown_by = |others: usize| others >= 2.min(found.probed);
        if found.connected == 0 {
            if shown_by(found.connected_by_others) {
                self.needs_reply = false;
                self.lose(now);
            } else {
                self.leave_open(now);
                if !has_replied && self.unclear_count >= DOWN_AFTER_EXAMINATIONS {
                    self.state = LinkState::TargetsDown;
                    self.next_task_at = now + Duration::from_millis(DOWN_PERIOD_MS);
                }
            }
        } else if has_replied || !self.is_common || before == LinkState::TargetsDown {
            self.clear(now);
        } else if !self.needs_reply {
            self.needs_reply = true;
            self.next_task_at = now + Duration::from_millis(REQUEST_PAUSE_MS);
        } else if shown_by(found.replied_by_others) {
            self.silent_count += 1;
            self.next_task_at = now + Duration::from_millis(REQUEST_PAUSE_MS);
            if self.silent_count >= SILENT_EXAMINATIONS {
                self.lose(now);
            }
        } else {
            self.leave_open(now);
        }
        self.change_from(before, since)
    }

    fn change_from(&self, before: LinkState, since: MonoTime) -> Option<LinkChange> {
        (before != self.state).then_some(LinkChange {
            before,
            after: self.state,
            since,
        })
    }

    /// Records the result of [`LinkTask::ProbeReturn`]; returns the change of state, if there is one.
    pub fn record_return_probe(
        &mut self,
        probed: usize,
        reached: usize,
        now: MonoTime,
    ) -> Option<LinkChange> {
        self.is_busy = false;
        self.next_task_at = now + Duration::from_millis(RETURN_PROBE_PERIOD_MS);
        if 2 * reached <= probed {
            self.return_rounds = 0;
            return None;
        }
        self.return_rounds += 1;
        if self.state != LinkState::Lost || self.return_rounds < self.return_rounds_needed {
            return None;
        }
        let since = self.lost_since;
        self.regain(now);
        self.resumed_at = Some(now);
        self.change_from(LinkState::Lost, since)
    }

    /// Continues a suspicion that an examination has neither confirmed nor ended.
    fn leave_open(&mut self, now: MonoTime) {
        self.silent_count = 0;
        self.unclear_count += 1;
        let pause_ms = UNCLEAR_PAUSE_MIN_MS << (self.unclear_count - 1).min(6);
        self.next_task_at = now + Duration::from_millis(pause_ms.min(UNCLEAR_PAUSE_MAX_MS));
    }

    /// Ends a suspicion that was unfounded.
    fn clear(&mut self, now: MonoTime) {
        if self.state == LinkState::TargetsDown {
            return self.regain(now);
        }
        if self.is_common {
            self.next_task_at = now + Duration::from_millis(CLEARED_PAUSE_MS);
        } else {
            self.pause_lone(now);
        }
        self.state = LinkState::Up;
        self.failed.clear();
        self.unconnected.clear();
        self.unclear_count = 0;
        self.silent_count = 0;
        self.needs_reply = false;
    }

    /// Lets single targets be silent for a while, longer each time.
    fn pause_lone(&mut self, now: MonoTime) {
        let quiet = Duration::from_millis(2 * LONE_PAUSE_MAX_MS);
        if now.since(self.lone_paused_until) > quiet {
            self.lone_count = 0;
        }
        let pause_ms = LONE_PAUSE_MIN_MS << self.lone_count.min(6);
        self.lone_count += 1;
        self.lone_paused_until = now + Duration::from_millis(pause_ms.min(LONE_PAUSE_MAX_MS));
    }

    fn lose(&mut self, now: MonoTime) {
        let flap_period = Duration::from_millis(FLAP_PERIOD_MS);
        let is_flapping = self
            .returned_at
            .is_some_and(|at| now.since(at) < flap_period);
        self.return_rounds_needed = if is_flapping {
            (2 * self.return_rounds_needed).min(RETURN_ROUNDS_MAX)
        } else {
            RETURN_ROUNDS_MIN
        };
        self.return_rounds = 0;
        self.unclear_count = 0;
        self.silent_count = 0;
        self.state = LinkState::Lost;
        self.next_task_at = now + Duration::from_millis(RETURN_PROBE_PERIOD_MS);
    }

    fn regain(&mut self, now: MonoTime) {
        self.state = LinkState::Up;
        self.returned_at = Some(now);
        self.unclear_count = 0;
        self.lone_count = 0;
        self.silent_count = 0;
        self.needs_reply = false;
        self.failed.clear();
        self.unconnected.clear();
        // What was sent before the return is no evidence of another loss.
        self.last_reply_at = now;
    }
}
