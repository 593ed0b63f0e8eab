//! Tests of scenarios, metric sums, event and fault flags, ratios and the bare fan-out.

use std::time::Duration;

use fulmarweir_base::ShardHolding;
use fulmarweir_bench::{
    BareSettings, EventKind, FIRST_VERSION, FaultShare, LoadEvent, RatioSpread, ReplyFault,
    Scenario, ScenarioName, ScenarioSettings, ServiceTime, StandIn, StandInSettings, metric_sum,
    run_bare,
};

fn settings(name: ScenarioName, scale: f64) -> ScenarioSettings {
    ScenarioSettings {
        name,
        scale,
        centres: 3,
        vms: 2,
        replicas: None,
        service_time: ServiceTime::Constant { millis: 1.0 },
        faults: Vec::new(),
        slow: None,
        overrides: Vec::new(),
        seed: 1,
    }
}

#[test]
fn full_scale_has_the_sizes_of_the_deployments() {
    for name in [ScenarioName::Permits, ScenarioName::Consorcio] {
        let scenario = Scenario::new(settings(name, 1.0)).unwrap();
        assert_eq!(scenario.services().len(), 27);
        let targets = scenario.target_settings(0, &[]).unwrap();
        assert_eq!(targets.len(), 25 * 3 + 10 + 5);
    }
    assert!(Scenario::new(settings(ScenarioName::Permits, 0.0)).is_err());
}

#[test]
fn every_shard_of_a_service_has_a_target() {
    let mut wanted = settings(ScenarioName::Permits, 0.1);
    wanted.replicas = Some(2);
    let scenario = Scenario::new(wanted).unwrap();
    let targets = scenario.target_settings(1, &[]).unwrap();
    for service in scenario.services() {
        for shard in 0..service.shards {
            let holds = |target: &&StandInSettings| {
                target.service == service.name && target.holdings[0].shard == shard
            };
            let first = targets.iter().find(holds).unwrap();
            assert_eq!(first.holdings[0].of, service.shards);
        }
    }
}

#[test]
fn overrides_replace_lines_of_searches_only() {
    let mut wanted = settings(ScenarioName::Permits, 0.1);
    wanted.overrides = vec!["extra-load = 0".to_owned()];
    let text = Scenario::new(wanted).unwrap().config_text();
    assert!(text.contains("extra-load = 0\n"));
    assert!(!text.contains("extra-load = 0.05"));
    let acts = text
        .split("[service ")
        .find(|part| part.contains("kind = act"));
    assert!(!acts.unwrap().contains("extra-load"));
}

#[test]
fn metric_sums_take_matching_samples_only() {
    let text = "# HELP x\nx_total{kind=\"first\",s=\"a\"} 3\nx_total{kind=\"first\",s=\"b\"} 4\n\
        x_total{kind=\"hedge\"} 9\nx_total_other{kind=\"first\"} 100\ny 5\n";
    assert!((metric_sum(text, "x_total", "kind=\"first\"") - 7.0).abs() < f64::EPSILON);
    assert!((metric_sum(text, "y", "") - 5.0).abs() < f64::EPSILON);
    assert!(metric_sum(text, "z", "").abs() < f64::EPSILON);
}

#[test]
fn events_and_faults_are_read_from_flags() {
    let event: LoadEvent = "roll-out@2.5".parse().unwrap();
    assert_eq!(event.kind, EventKind::RollOut);
    assert_eq!(event.at, Duration::from_millis(2_500));
    for bad in ["roll-out", "roll-out@x", "roll-out@-1", "other@1"] {
        assert!(bad.parse::<LoadEvent>().is_err(), "{bad}");
    }
    let fault: FaultShare = "crossed=0.25".parse().unwrap();
    assert_eq!(fault.fault, ReplyFault::Crossed);
    for bad in ["crossed", "crossed=2", "other=0.1"] {
        assert!(bad.parse::<FaultShare>().is_err(), "{bad}");
    }
}

#[test]
fn ratios_spread_over_rounds() {
    let spread = RatioSpread::of_rounds(&[1.0, 2.0, 0.0], &[2.0, 2.0, 5.0]).unwrap();
    let expected = RatioSpread {
        min: 1.0,
        mean: 1.5,
        max: 2.0,
    };
    assert_eq!(spread, expected);
    assert!(RatioSpread::of_rounds(&[0.0], &[1.0]).is_none());
}

#[tokio::test]
async fn a_bare_fan_out_asks_every_target() {
    let mut targets = Vec::new();
    for shard in 0..2 {
        let holding = ShardHolding {
            version: FIRST_VERSION,
            shard,
            of: 2,
        };
        let service = "s/1".parse().unwrap();
        let mut settings = StandInSettings::new("t".parse().unwrap(), service, holding);
        settings.slots = 1_000;
        settings.connections = 1_000;
        targets.push(StandIn::start(settings).await.unwrap());
    }
    let bare = BareSettings {
        targets: targets.iter().map(StandIn::address).collect(),
        service: "s/1".to_owned(),
        rate_per_sec: 200.0,
        duration: Duration::from_millis(200),
        seed: 1,
    };
    let report = run_bare(&bare).await.unwrap();
    assert!(report.queries > 0);
    assert_eq!(report.answered, report.queries * 2);
    for target in targets {
        assert_eq!(target.stop().await.runs, report.queries);
    }
}
