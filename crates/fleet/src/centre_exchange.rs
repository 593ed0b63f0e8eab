//! Exchange of records with other data centres, and their distribution within this one.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_base::{CentreName, MonoTime, ServiceName};
use rand::RngExt;

use crate::{
    CentreProbe, CentreRecord, CentreUpdates, FleetMessage, FleetState, ServiceShards, ShardBitmap,
    centre::{choose_contacts, summarize_holdings},
};

/// Number of probe rounds over all data centres after which a data centre that has not answered
/// counts as unreachable.
const LOST_AFTER_PROBE_ROUNDS: u32 = 2;
/// Interval between two summaries of the shards held.
const SUMMARY_PERIOD_MS: u64 = 500;
/// Minimum interval between two summaries in which only the counts changed: changed counts alone
/// do not justify a message.
const COUNTS_REFRESH_PERIOD_MS: u64 = 30_000;

impl FleetState {
    /// Chooses the contacts again after the members changed.
    pub(crate) fn update_contacts(&mut self) {
        let generation = Some(self.members.generation());
        if self.contacts_generation != generation {
            let count = self.settings.contacts_per_centre;
            self.contacts = choose_contacts(self.members.live(), count);
            self.contacts_generation = generation;
        }
    }

    fn is_contact(&self) -> bool {
        self.contacts
            .iter()
            .any(|contact| contact.name == self.identity.name)
    }

    /// If this VM is a contact, writes the summary of its data centre and probes other ones.
    pub(crate) fn tick_centres(&mut self, now: MonoTime) {
        let rank = self
            .contacts
            .iter()
            .position(|contact| contact.name == self.identity.name);
        let Some(rank) = rank else { return };
        if rank == 0 && now >= self.timers.centre_summary {
            self.timers.centre_summary = now + Duration::from_millis(SUMMARY_PERIOD_MS);
            self.write_summary(now);
        }
        if now >= self.timers.centre_probe {
            let period = self.settings.centre_probe_period;
            self.timers.centre_probe = now + self.jittered(period);
            self.probe_next_centre(now);
        }
    }

    pub(crate) fn on_centre(&mut self, from: SocketAddr, probe: CentreProbe, now: MonoTime) {
        self.peer_responded = true;
        if probe.centre != self.identity.centre {
            self.remote_peers.insert(from, probe.centre.clone());
            self.centres.record_heard(&probe.centre, now);
        }
        let accepted = self.merge_centres(probe.news);
        self.queue_centre_updates(accepted);
        self.on_config_news(from, probe.config, now);
        if probe.wants_answer {
            let news = self.centres.differing(&probe.digests);
            self.send_centre_probe(from, news, false);
        }
    }

    /// Answers a join from a VM of another data centre with the records of this one.
    pub(crate) fn answer_remote_join(
        &mut self,
        from: SocketAddr,
        centre: &CentreName,
        now: MonoTime,
    ) {
        self.remote_peers.insert(from, centre.clone());
        self.centres.record_heard(centre, now);
        let news = self.centres.of_centre(&self.identity.centre);
        self.send_centre_probe(from, news, true);
    }

    /// Merges records of data centres; returns the records that were newer.
    pub(crate) fn merge_centres(&mut self, news: CentreUpdates) -> CentreUpdates {
        self.centres.merge(news)
    }

    /// Returns a random contact of each other data centre, if this VM is a contact itself.
    pub(crate) fn remote_contacts(&mut self) -> Vec<SocketAddr> {
        if !self.is_contact() {
            return Vec::new();
        }
        let names: Vec<_> = self.other_centres();
        names
            .iter()
            .filter_map(|name| self.contact_of(name))
            .collect()
    }

    /// Whether `address` belongs to another data centre that answered recently.
    pub(crate) fn is_remote_peer_reached(&self, address: &SocketAddr, now: MonoTime) -> bool {
        let Some(centre) = self.remote_peers.get(address) else {
            return false;
        };
        let heard = self.centres.heard_at(centre);
        !self.is_contact() || heard.is_some_and(|at| now.since(at) < self.centre_timeout())
    }

    /// Returns the silence after which another data centre counts as unreachable: a few rounds of
    /// probes.
    fn centre_timeout(&self) -> Duration {
        let centres = u32::try_from(self.centres.records().count()).unwrap_or(u32::MAX);
        let rounds = self
            .settings
            .centre_probe_period
            .saturating_mul(centres.saturating_mul(LOST_AFTER_PROBE_ROUNDS));
        rounds.max(self.settings.centre_timeout)
    }

    fn write_summary(&mut self, now: MonoTime) {
        let mut news = CentreUpdates::default();
        news.centres.extend(self.next_centre_record(now));
        news.holdings = self.changed_service_shards();
        let accepted = self.merge_centres(news);
        if accepted.is_empty() {
            return;
        }
        for contact in self.remote_contacts() {
            self.send_centre_probe(contact, accepted.clone(), false);
        }
        self.queue_centre_updates(accepted);
    }

    /// Returns a new summary if the contacts changed, or if the counts changed and are due.
    fn next_centre_record(&mut self, now: MonoTime) -> Option<CentreRecord> {
        let contacts = self.contacts.clone();
        let known = self.centres.get(&self.identity.centre);
        let next = CentreRecord {
            centre: self.identity.centre.clone(),
            stamp: known.map_or(0, |known| known.stamp) + 1,
            contacts,
            live_vms: u32::try_from(self.members.live().len()).unwrap_or(u32::MAX),
            config_version: self.config.applied().version,
        };
        let contacts_changed = known.is_none_or(|known| known.contacts != next.contacts);
        let counts_differ = known.is_none_or(|known| {
            (known.live_vms, known.config_version) != (next.live_vms, next.config_version)
        });
        let due = counts_differ && now >= self.timers.counts_refresh;
        if !contacts_changed && !due {
            return None;
        }
        self.timers.counts_refresh = now + Duration::from_millis(COUNTS_REFRESH_PERIOD_MS);
        Some(next)
    }

    fn changed_service_shards(&self) -> Vec<ServiceShards> {
        let centre = &self.identity.centre;
        let present = summarize_holdings(&self.leases);
        let mut records = Vec::new();
        for (service, spans) in &present {
            records.extend(self.next_service_shards(service, spans));
        }
        for known in self.centres.holdings(centre) {
            if !present.contains_key(&known.service) {
                records.extend(self.next_service_shards(&known.service, &[]));
            }
        }
        records
    }

    fn next_service_shards(
        &self,
        service: &ServiceName,
        spans: &[ShardBitmap],
    ) -> Option<ServiceShards> {
        let centre = &self.identity.centre;
        let known = self.centres.holding(centre, service);
        if known.is_some_and(|known| known.spans == spans) {
            return None;
        }
        Some(ServiceShards {
            centre: centre.clone(),
            service: service.clone(),
            stamp: known.map_or(0, |known| known.stamp) + 1,
            spans: spans.to_vec(),
        })
    }

    /// Probes the data centre whose last probe is the oldest.
    fn probe_next_centre(&mut self, now: MonoTime) {
        let names = self.other_centres();
        let Some(name) = names
            .into_iter()
            .min_by_key(|name| self.centres.probed_at(name))
        else {
            return;
        };
        if let Some(contact) = self.contact_of(&name) {
            self.centres.record_probe(&name, now);
            self.send_centre_probe(contact, CentreUpdates::default(), true);
        }
    }

    fn other_centres(&self) -> Vec<CentreName> {
        let names = self.centres.records().map(|record| record.centre.clone());
        names.filter(|name| *name != self.identity.centre).collect()
    }

    fn contact_of(&mut self, centre: &CentreName) -> Option<SocketAddr> {
        let contacts = &self.centres.get(centre)?.contacts;
        if contacts.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..contacts.len());
        Some(contacts[index].peers)
    }

    fn queue_centre_updates(&mut self, accepted: CentreUpdates) {
        self.pending.centres.centres.extend(accepted.centres);
        self.pending.centres.holdings.extend(accepted.holdings);
    }

    fn send_centre_probe(&mut self, to: SocketAddr, news: CentreUpdates, wants_answer: bool) {
        let probe = CentreProbe {
            centre: self.identity.centre.clone(),
            wants_answer,
            config: self.config.applied(),
            digests: self.centres.digests(),
            news,
        };
        self.send(to, FleetMessage::Centre(probe));
    }
}
