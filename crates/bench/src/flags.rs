//! The command line of the bench.

use std::{net::SocketAddr, path::PathBuf};

use crate::{load::LoadEvent, scenario::ScenarioName, stand_in::FaultShare};

xflags::xflags! {
    /// Stand-in targets and load for fulmarweir on one machine.
    cmd fulmarweir-bench {
        /// Start one daemon and three targets, submit a configuration and print one search.
        cmd demo {
            /// Daemon program; by default the one beside this program.
            optional --program program: PathBuf
            /// Keep running until interrupted.
            optional --stay
        }
        /// Run the daemon itself, as the demo does where the daemon program is not built.
        cmd daemon {
            /// Settings file of the VM (INI).
            required --settings settings: PathBuf
        }
        /// Start stand-in targets of one service that announce themselves to a VM.
        cmd targets {
            /// Address for targets of a VM, IP:PORT; repeatable.
            repeated --at-vm at_vm: SocketAddr
            /// Service name.
            optional --service service: String
            /// Number of shards, 3 by default.
            optional --shards shards: u32
            /// Replicas of each shard, 1 by default.
            optional --replicas replicas: u32
            /// Index version, 42 by default.
            optional --version version: u64
            /// Usual service time in milliseconds, 2 by default.
            optional --service-ms service_ms: f64
            /// Seed of all draws, 1 by default.
            optional --seed seed: u64
        }
        /// Offer open-loop load to a scenario and print a report.
        cmd load {
            /// Scenario: permits or consorcio.
            required scenario: ScenarioName
            /// Daemon program; by default the one beside this program.
            optional --program program: PathBuf
            /// Requests a second over all daemons, 200 by default.
            optional --rate rate: f64
            /// Length of the run in seconds, 10 by default.
            optional --seconds seconds: f64
            /// Unmeasured load before each run in seconds, 3 by default.
            optional --warm-up warm_up: f64
            /// Share of the services of each group, 0.1 by default.
            optional --scale scale: f64
            /// Data centres, 3 by default.
            optional --centres centres: usize
            /// Daemons in each data centre, 2 by default.
            optional --vms vms: u32
            /// Replicas of each shard in a data centre, instead of the scenario's own.
            optional --replicas replicas: u32
            /// Share of lookups by key, 0.2 by default.
            optional --lookups lookups: f64
            /// Share of acts, 0.05 by default.
            optional --acts acts: f64
            /// Usual service time in milliseconds, 4 by default.
            optional --service-ms service_ms: f64
            /// Service time of stragglers in milliseconds, 80 by default.
            optional --late-ms late_ms: f64
            /// One request in this many is a straggler, 100 by default.
            optional --one-in one_in: u32
            /// What happens during a run, KIND@SECONDS; repeatable. Kinds: roll-out, repartition,
            /// drain-target, crash-target, kill-vm, freeze-vm.
            repeated --event event: LoadEvent
            /// Share of faulty replies of every target, KIND=SHARE; repeatable. Kinds: bad-json,
            /// crossed, dies, doubled, huge, late, truncated.
            repeated --fault fault: FaultShare
            /// Factor on the service times of one target of each service in each data centre.
            optional --slow slow: f64
            /// Seed of all draws, 1 by default.
            optional --seed seed: u64
            /// A KEY=VALUE of every search service in the operators' text; repeatable.
            repeated --set set: String
            /// Write the report as JSON to this file.
            optional --json json: PathBuf
            /// Write a plot of the latency distribution as SVG to this file.
            optional --plot plot: PathBuf
        }
        /// Run two variants of a scenario in alternation and print ratios with their spread.
        cmd compare {
            /// Scenario: permits or consorcio.
            required scenario: ScenarioName
            /// Daemon program of the first variant; by default the one beside this program.
            optional --program program: PathBuf
            /// Daemon program of the second variant; by default that of the first.
            optional --second-program second_program: PathBuf
            /// A KEY=VALUE of every search service in the first variant; repeatable.
            repeated --first first: String
            /// A KEY=VALUE of every search service in the second variant; repeatable.
            repeated --second second: String
            /// Rounds; each runs both variants, 3 by default.
            optional --rounds rounds: u32
            /// Requests a second over all daemons, 200 by default.
            optional --rate rate: f64
            /// Length of each run in seconds, 10 by default.
            optional --seconds seconds: f64
            /// Unmeasured load before each run in seconds, 3 by default.
            optional --warm-up warm_up: f64
            /// Share of the services of each group, 0.1 by default.
            optional --scale scale: f64
            /// Data centres, 3 by default.
            optional --centres centres: usize
            /// Daemons in each data centre, 2 by default.
            optional --vms vms: u32
            /// Replicas of each shard in a data centre, instead of the scenario's own.
            optional --replicas replicas: u32
            /// Share of lookups by key, 0.2 by default.
            optional --lookups lookups: f64
            /// Share of acts, 0.05 by default.
            optional --acts acts: f64
            /// Usual service time in milliseconds, 4 by default.
            optional --service-ms service_ms: f64
            /// Service time of stragglers in milliseconds, 80 by default.
            optional --late-ms late_ms: f64
            /// One request in this many is a straggler, 100 by default.
            optional --one-in one_in: u32
            /// What happens during a run, KIND@SECONDS; repeatable. Kinds: roll-out, repartition,
            /// drain-target, crash-target, kill-vm, freeze-vm.
            repeated --event event: LoadEvent
            /// Share of faulty replies of every target, KIND=SHARE; repeatable. Kinds: bad-json,
            /// crossed, dies, doubled, huge, late, truncated.
            repeated --fault fault: FaultShare
            /// Factor on the service times of one target of each service in each data centre.
            optional --slow slow: f64
            /// Seed of all draws, 1 by default.
            optional --seed seed: u64
            /// Write all reports as JSON to this file.
            optional --json json: PathBuf
            /// Write a plot of the latency distributions as SVG to this file.
            optional --plot plot: PathBuf
        }
        /// Measure the processor time of a bare fan-out, as a base for that of the daemons.
        cmd bare {
            /// Queries a second, 200 by default.
            optional --rate rate: f64
            /// Length of the run in seconds, 10 by default.
            optional --seconds seconds: f64
            /// Number of shards, 3 by default.
            optional --shards shards: u32
            /// Service time of the targets in milliseconds, 2 by default.
            optional --service-ms service_ms: f64
            /// Seed of the arrivals, 1 by default.
            optional --seed seed: u64
            /// Address of the target of each shard; by default stand-ins of a parent process.
            repeated --target target: SocketAddr
        }
    }
}
