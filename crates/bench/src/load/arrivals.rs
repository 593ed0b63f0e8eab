//! Seeded arrival process: draws start time, daemon, service and kind of each request.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::scenario::ScenarioService;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// Search over all shards.
    Search,
    /// Search in the single shard of a key.
    Lookup,
    /// Act on a key.
    Act,
}

/// Shares of the kinds of requests; the rest are searches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestMix {
    /// Share of lookups, 0 to 1.
    pub lookups: f64,
    /// Share of acts, 0 to 1.
    pub acts: f64,
}

/// A request with its intended start time.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    pub(crate) number: u64,
    /// Intended start, relative to the start of the run.
    pub(crate) start: Duration,
    pub(crate) address: SocketAddr,
    pub(crate) kind: RequestKind,
    pub(crate) service: ScenarioService,
}

impl PlannedRequest {
    /// Returns the body, which is unique for each request.
    pub(crate) fn body(&self) -> String {
        format!("{{\"q\":{}}}", self.number)
    }

    /// Returns the idempotency key. Every second act has one, so that a run has acts with
    /// and without it.
    pub(crate) fn idempotency_key(&self) -> Option<String> {
        let keyed = self.kind == RequestKind::Act && self.number.is_multiple_of(2);
        keyed.then(|| format!("bench-{}", self.number))
    }

    /// Returns path and query of the request.
    pub(crate) fn path(&self) -> String {
        let service = &self.service.name;
        match self.kind {
            RequestKind::Search => format!("/v1/search/{service}"),
            RequestKind::Lookup => format!("/v1/search/{service}?key=k{}", self.number),
            RequestKind::Act => format!("/v1/act/{service}?key=k{}", self.number),
        }
    }
}

/// An infinite Poisson process of requests to random daemons and services.
#[derive(Debug)]
pub(crate) struct ArrivalProcess<'a> {
    rng: Pcg64Mcg,
    interarrival: Exp<f64>,
    mix: RequestMix,
    addresses: &'a [SocketAddr],
    search_services: Vec<&'a ScenarioService>,
    act_services: Vec<&'a ScenarioService>,
    last_start: Duration,
    number: u64,
}

impl<'a> ArrivalProcess<'a> {
    /// Creates the process; returns `None` when the rate is invalid or there is no daemon or no
    /// search service.
    pub(crate) fn new(
        seed: u64,
        rate_per_sec: f64,
        mix: RequestMix,
        addresses: &'a [SocketAddr],
        services: &'a [ScenarioService],
        number_offset: u64,
    ) -> Option<Self> {
        let (act_services, search_services): (Vec<_>, Vec<_>) =
            services.iter().partition(|s| s.is_act);
        if search_services.is_empty() || addresses.is_empty() || rate_per_sec <= 0.0 {
            return None;
        }
        Some(Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            interarrival: Exp::new(rate_per_sec).ok()?,
            mix,
            addresses,
            search_services,
            act_services,
            last_start: Duration::ZERO,
            number: number_offset,
        })
    }

    fn draw_kind(&mut self) -> RequestKind {
        let draw: f64 = self.rng.random();
        if draw < self.mix.acts && !self.act_services.is_empty() {
            RequestKind::Act
        } else if draw < self.mix.acts + self.mix.lookups {
            RequestKind::Lookup
        } else {
            RequestKind::Search
        }
    }
}

impl Iterator for ArrivalProcess<'_> {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        self.last_start += Duration::from_secs_f64(self.interarrival.sample(&mut self.rng));
        self.number += 1;
        let kind = self.draw_kind();
        let services = match kind {
            RequestKind::Act => &self.act_services,
            RequestKind::Lookup | RequestKind::Search => &self.search_services,
        };
        let service = services[self.rng.random_range(0..services.len())];
        let address = self.addresses[self.rng.random_range(0..self.addresses.len())];
        Some(PlannedRequest {
            number: self.number,
            start: self.last_start,
            address,
            kind,
            service: service.clone(),
        })
    }
}
