//! Scenarios: services, sizes and delays of two deployments, scaled down to one machine.

mod deployment;

use std::{fmt::Write as _, net::SocketAddr, path::PathBuf, time::Duration};

use error_stack::{Report, ResultExt};
use fulmarweir_base::{ServiceName, ShardHolding};

use crate::{
    error::BenchError,
    stand_in::{FaultShare, ServiceTime, StandInBehaviour, StandInSettings},
    tier::{CentrePlan, TierSettings},
};

use self::deployment::{ServiceGroup, centre_names, service_groups};

pub use self::deployment::ScenarioName;

type Result<T> = std::result::Result<T, Report<BenchError>>;

/// Index version that every target holds at the start.
pub const FIRST_VERSION: u64 = 42;
/// Number of hits that each shard returns.
pub const HITS_PER_SHARD: u32 = 5;
const VOTERS: u32 = 3;
const QUEUE_PER_SLOT: usize = 4;

/// Scale and variations of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioSettings {
    /// Name of the scenario.
    pub name: ScenarioName,
    /// Share of the services of each group to run, 0 to 1; each group keeps at least one service.
    pub scale: f64,
    /// Number of data centres, 1 to 3.
    pub centres: usize,
    /// Number of daemons in each data centre.
    pub vms: u32,
    /// Replicas of each shard in a data centre; `None` uses the value of the scenario.
    pub replicas: Option<u32>,
    /// Distribution of the service times of all targets.
    pub service_time: ServiceTime,
    /// Faults of the replies of all targets.
    pub faults: Vec<FaultShare>,
    /// Factor on the service times of the first target of each service in each data centre.
    pub slow: Option<f64>,
    /// Configuration lines `KEY = VALUE` that replace or extend those of every search service.
    pub overrides: Vec<String>,
    /// Seed of all random draws.
    pub seed: u64,
}

/// One service of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioService {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the service runs acts instead of searches.
    pub is_act: bool,
    /// Number of shards of its index.
    pub shards: u32,
    group: ServiceGroup,
}

/// A scenario with its scaled list of services.
#[derive(Clone, Debug)]
pub struct Scenario {
    settings: ScenarioSettings,
    services: Vec<ScenarioService>,
}

impl Scenario {
    /// Computes the services of a scenario.
    ///
    /// # Errors
    ///
    /// [`BenchError::Settings`] when the scale or the number of data centres is out of range.
    pub fn new(settings: ScenarioSettings) -> Result<Self> {
        let scale_fits = settings.scale > 0.0 && settings.scale <= 1.0;
        if !scale_fits || !(1..=3).contains(&settings.centres) || settings.vms == 0 {
            return Err(Report::new(BenchError::Settings))
                .attach("expected a scale in (0, 1], 1 to 3 data centres and at least one VM");
        }
        let mut services = Vec::new();
        for group in service_groups(settings.name) {
            for number in 1..=scaled(group.services, settings.scale) {
                let name = format!("{}/s{number}", group.name);
                let replicas = settings.replicas.unwrap_or(group.replicas).max(1);
                services.push(ScenarioService {
                    name: name.parse().change_context(BenchError::Settings)?,
                    is_act: group.is_act,
                    shards: (group.targets_per_service / replicas).max(1),
                    group,
                });
            }
        }
        Ok(Self { settings, services })
    }

    /// Returns the services of the scenario.
    #[must_use]
    pub fn services(&self) -> &[ScenarioService] {
        &self.services
    }

    /// Returns the settings of the scenario.
    #[must_use]
    pub fn settings(&self) -> &ScenarioSettings {
        &self.settings
    }

    /// Returns the settings of the daemons of the scenario.
    ///
    /// # Panics
    ///
    /// Never: the names are constants.
    #[must_use]
    pub fn tier_settings(&self, program: PathBuf) -> TierSettings {
        let plan = |name: &&str| CentrePlan {
            name: name.parse().expect("a valid name"),
            region: name.parse().expect("a valid name"),
            vms: self.settings.vms,
        };
        let names = centre_names(self.settings.name);
        let centres: Vec<CentrePlan> = names[..self.settings.centres].iter().map(plan).collect();
        let vms: u32 = centres.iter().map(|centre| centre.vms).sum();
        TierSettings {
            program,
            centres,
            voters: VOTERS.min(vms),
            voter_candidates: 0,
            proxy_peers: false,
            log_level: "warning".to_owned(),
            extra_settings: String::new(),
        }
    }

    /// Returns the configuration of all services.
    #[must_use]
    pub fn config_text(&self) -> String {
        let mut text = String::new();
        for service in &self.services {
            self.write_service(&mut text, service);
        }
        text
    }

    fn write_service(&self, text: &mut String, service: &ScenarioService) {
        let group = service.group;
        let kind = if group.is_act { "act" } else { "search" };
        let prefer = match self.settings.name {
            ScenarioName::Permits => "latency",
            ScenarioName::Consorcio => "coverage",
        };
        let deadline = self.settings.name.deadline_ms();
        let mut lines = vec![
            format!("kind = {kind}"),
            format!("deadline-ms = {deadline}"),
            format!("slots = {}", group.slots),
            format!("connections = {}", group.connections),
            format!("connect-ms = {}", group.connect_ms),
        ];
        if !group.is_act {
            lines.push(format!("prefer = {prefer}"));
            lines.push(format!("soft-deadline-ms = {}", deadline / 2));
            lines.push("extra-load = 0.05".to_owned());
            for line in &self.settings.overrides {
                replace_line(&mut lines, line);
            }
        }
        let _ = writeln!(text, "[service {}]\n{}\n", service.name, lines.join("\n"));
    }

    /// Returns the settings of the stand-in targets of one data centre, which announce themselves
    /// to the daemons at `vms`.
    ///
    /// # Errors
    ///
    /// [`BenchError::Settings`] when the name of a target is too long.
    pub fn target_settings(
        &self,
        centre: usize,
        vms: &[SocketAddr],
    ) -> Result<Vec<StandInSettings>> {
        let mut targets = Vec::new();
        for service in &self.services {
            for number in 0..service.group.targets_per_service {
                let target_index = targets.len();
                let mut target = self.settings_of_target(service, centre, number)?;
                target.vms = rotated(vms, target_index);
                target.seed = self.settings.seed ^ ((centre as u64) << 32) ^ target_index as u64;
                targets.push(target);
            }
        }
        Ok(targets)
    }

    fn settings_of_target(
        &self,
        service: &ScenarioService,
        centre: usize,
        number: u32,
    ) -> Result<StandInSettings> {
        let group = service.group;
        let name = format!("{}-c{centre}-t{number}", service.name);
        let name = name.parse().change_context(BenchError::Settings)?;
        let holding = ShardHolding {
            version: FIRST_VERSION,
            shard: number % service.shards,
            of: service.shards,
        };
        let mut target = StandInSettings::new(name, service.name.clone(), holding);
        target.slots = group.slots;
        target.queue = group.slots as usize * QUEUE_PER_SLOT;
        target.connections = group.connections;
        target.connect_delay = Duration::from_millis(group.connect_ms);
        target.link_delay = self.settings.name.target_delay();
        target.hits = HITS_PER_SHARD;
        target.behaviour = StandInBehaviour {
            service_time: self.settings.service_time,
            slowdown: match self.settings.slow {
                Some(factor) if number == 0 => factor,
                _ => 1.0,
            },
            faults: self.settings.faults.clone(),
            ..StandInBehaviour::default()
        };
        Ok(target)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a small positive count"
)]
fn scaled(count: u32, scale: f64) -> u32 {
    ((f64::from(count) * scale).round() as u32).max(1)
}

/// Adds a configuration line and removes lines with the same key.
fn replace_line(lines: &mut Vec<String>, line: &str) {
    let key = |line: &str| line.split('=').next().map(|key| key.trim().to_owned());
    let wanted = key(line);
    lines.retain(|old| key(old) != wanted);
    lines.push(line.to_owned());
}

/// Rotates the list of VMs, so that the first announcements of targets spread over the VMs.
fn rotated(vms: &[SocketAddr], by: usize) -> Vec<SocketAddr> {
    let mut vms = vms.to_vec();
    if !vms.is_empty() {
        let by = by % vms.len();
        vms.rotate_left(by);
    }
    vms
}
