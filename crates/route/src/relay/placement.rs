//! Which VM asks the shards of a search: this one, or a broker near their targets.
//!
//! Load pattern: searches that need many shards whose nearest targets are in
//! another data centre. Asked from here, each shard is a message to there, and
//! each of many VMs sees too little of a target to judge it. Handed over, they
//! are one message, and the few VMs near a target see all that it does.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fulmarweir_base::MonoTime;

/// Time for which a broker that did not take a search gets none.
const REST_MS: u64 = 200;
/// Pause before a broker that failed is asked whether it is alive; it doubles up to the longest one.
const PROBE_FIRST_MS: u64 = 250;
const PROBE_MAX_MS: u64 = 2_000;
/// Pause before a broker that answered the probe, but takes no searches, is asked again.
const PROBE_UNWILLING_MS: u64 = 1_000;

/// An entry VM that may ask shards for others.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BrokerEndpoint {
    /// Where other daemons call it.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
}

/// How a hand-over ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HandoverOutcome {
    /// The broker gave its answer.
    Answered,
    /// The broker said that it has not run anything of it.
    NotTaken,
    /// The broker could not be reached, broke off or fell silent.
    Failed,
    /// The caller left.
    Abandoned,
}

#[derive(Debug)]
struct BrokerCard {
    place: BrokerEndpoint,
    /// Searches that it has from this VM.
    open: u32,
    /// Whether it has answered a probe since it last failed.
    proven: bool,
    rests_until: MonoTime,
    probe_at: MonoTime,
    probing: bool,
    strikes: u32,
}

impl BrokerCard {
    fn new(place: BrokerEndpoint, now: MonoTime) -> Self {
        Self {
            place,
            open: 0,
            proven: false,
            rests_until: MonoTime::ZERO,
            probe_at: now,
            probing: false,
            strikes: 0,
        }
    }

    fn failed(&mut self, now: MonoTime) {
        let pause_ms = (PROBE_FIRST_MS << self.strikes.min(6)).min(PROBE_MAX_MS);
        self.strikes += 1;
        self.proven = false;
        self.probe_at = now + Duration::from_millis(pause_ms);
    }
}

/// The brokers that this VM may hand shards of searches to.
#[derive(Debug, Default)]
pub struct BrokerSelector {
    cards: Vec<BrokerCard>,
    turn: usize,
}

impl BrokerSelector {
    /// Replaces the brokers; what is known of those that stay is kept.
    pub fn sync(&mut self, places: &[BrokerEndpoint], now: MonoTime) {
        self.cards.retain(|card| places.contains(&card.place));
        for place in places {
            if !self.cards.iter().any(|card| card.place == *place) {
                self.cards.push(BrokerCard::new(place.clone(), now));
            }
        }
    }

    /// The broker in `centre` with the fewest searches of this VM, if one is fit.
    ///
    /// A broker gets no search before it has answered a probe.
    pub fn choose(&mut self, centre: &str, now: MonoTime) -> Option<SocketAddr> {
        let count = self.cards.len();
        self.turn = self.turn.wrapping_add(1);
        let order = (0..count).map(|step| (self.turn + step) % count);
        let fit = order.filter(|place| {
            let card = &self.cards[*place];
            card.proven && &*card.place.centre == centre && now >= card.rests_until
        });
        let chosen = fit.min_by_key(|place| self.cards[*place].open)?;
        let card = &mut self.cards[chosen];
        card.open += 1;
        Some(card.place.address)
    }

    /// Notes the end of a search that was handed to the broker at `address`.
    pub fn ended(&mut self, address: SocketAddr, end: HandoverOutcome, now: MonoTime) {
        let Some(card) = self.card(address) else {
            return;
        };
        card.open = card.open.saturating_sub(1);
        match end {
            HandoverOutcome::Answered => card.strikes = 0,
            HandoverOutcome::NotTaken => card.rests_until = now + Duration::from_millis(REST_MS),
            HandoverOutcome::Failed if card.proven => card.failed(now),
            HandoverOutcome::Failed | HandoverOutcome::Abandoned => {}
        }
    }

    /// Brokers in one of `centres` to ask now whether they are alive.
    pub fn due_probes(&mut self, centres: &[Arc<str>], now: MonoTime) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for card in &mut self.cards {
            let is_wanted = centres.contains(&card.place.centre);
            if is_wanted && !card.proven && !card.probing && now >= card.probe_at {
                card.probing = true;
                due.push(card.place.address);
            }
        }
        due
    }

    /// Takes in a probe's answer: whether the broker takes searches, `None` for silence.
    pub fn probed(&mut self, address: SocketAddr, takes_searches: Option<bool>, now: MonoTime) {
        let Some(card) = self.card(address) else {
            return;
        };
        card.probing = false;
        match takes_searches {
            Some(true) => card.proven = true,
            Some(false) => card.probe_at = now + Duration::from_millis(PROBE_UNWILLING_MS),
            None => card.failed(now),
        }
    }

    /// Number of brokers that would be given a search now.
    #[must_use]
    pub fn usable_count(&self, now: MonoTime) -> usize {
        let fit = |card: &&BrokerCard| card.proven && now >= card.rests_until;
        self.cards.iter().filter(fit).count()
    }

    fn card(&mut self, address: SocketAddr) -> Option<&mut BrokerCard> {
        let mut cards = self.cards.iter_mut();
        cards.find(|card| card.place.address == address)
    }
}
