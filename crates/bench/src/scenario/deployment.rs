//! The two deployments of the scenarios: services, sizes and delays.

use std::{str::FromStr, time::Duration};

/// A named scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScenarioName {
    /// The Permits Office, whose searches prefer low tail latency.
    Permits,
    /// The Consorcio, whose searches prefer high coverage.
    Consorcio,
}

impl FromStr for ScenarioName {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "permits" => Ok(Self::Permits),
            "consorcio" => Ok(Self::Consorcio),
            _ => Err(format!("{text:?} is not a scenario: permits or consorcio")),
        }
    }
}

/// A group of services with the same settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceGroup {
    pub(crate) name: &'static str,
    pub(crate) services: u32,
    /// Number of targets of each service in each data centre.
    pub(crate) targets_per_service: u32,
    /// Number of replicas of each shard in each data centre.
    pub(crate) replicas: u32,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) connect_ms: u64,
    pub(crate) is_act: bool,
}

const fn unreplicated_search_group(name: &'static str, services: u32) -> ServiceGroup {
    ServiceGroup {
        name,
        services,
        targets_per_service: 3,
        replicas: 1,
        slots: 3,
        connections: 30,
        connect_ms: 6,
        is_act: false,
    }
}

const fn replicated_search_group(name: &'static str, connections: u32) -> ServiceGroup {
    ServiceGroup {
        name,
        services: 1,
        targets_per_service: 10,
        replicas: 2,
        slots: 6,
        connections,
        connect_ms: 1,
        is_act: false,
    }
}

const fn act_group(name: &'static str, connections: u32) -> ServiceGroup {
    ServiceGroup {
        name,
        services: 1,
        targets_per_service: 5,
        replicas: 1,
        slots: 6,
        connections,
        connect_ms: 1,
        is_act: true,
    }
}

impl ScenarioName {
    /// Returns the one-way delay between callers and daemons.
    #[must_use]
    pub const fn client_delay(self) -> Duration {
        match self {
            ScenarioName::Permits => Duration::from_millis(1),
            ScenarioName::Consorcio => Duration::from_millis(3),
        }
    }

    /// Returns the one-way delay between daemons and targets of the same data centre.
    #[must_use]
    pub const fn target_delay(self) -> Duration {
        match self {
            ScenarioName::Permits => Duration::from_micros(500),
            ScenarioName::Consorcio => Duration::from_millis(1),
        }
    }

    /// Returns the one-way delay between data centres, which are all in different regions.
    #[must_use]
    pub const fn region_delay(self) -> Duration {
        match self {
            ScenarioName::Permits => Duration::from_millis(8),
            ScenarioName::Consorcio => Duration::from_millis(20),
        }
    }

    /// Returns the deadline of every request in milliseconds.
    #[must_use]
    pub const fn deadline_ms(self) -> u64 {
        match self {
            ScenarioName::Permits => 300,
            ScenarioName::Consorcio => 1_000,
        }
    }
}

pub(crate) fn service_groups(name: ScenarioName) -> [ServiceGroup; 4] {
    match name {
        ScenarioName::Permits => [
            unreplicated_search_group("street-app", 10),
            unreplicated_search_group("renewals", 15),
            replicated_search_group("counter-desk", 100),
            act_group("fee-ledger", 100),
        ],
        ScenarioName::Consorcio => [
            unreplicated_search_group("tienda-socios", 10),
            unreplicated_search_group("tablero-horno", 15),
            replicated_search_group("reparto-ruta", 50),
            act_group("cobro-cuotas", 50),
        ],
    }
}

pub(crate) fn centre_names(name: ScenarioName) -> [&'static str; 3] {
    match name {
        ScenarioName::Permits => ["ub-sukhbaatar", "dk-central", "er-bayan"],
        ScenarioName::Consorcio => ["capital-z1", "paysandu-z1", "punta-z1"],
    }
}
