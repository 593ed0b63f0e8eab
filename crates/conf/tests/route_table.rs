//! Tests of the validation and matching of routes.

use std::{sync::Arc, time::Duration};

use fulmarweir_conf::{
    CallerLimits, GatherRule, RouteDestination, RouteFault, RouteRule, RouteTable, ServiceRule,
    WarmUpRule, WeightedService,
};

fn limits() -> CallerLimits {
    CallerLimits {
        head_max_bytes: 16_384,
        body_max_bytes: 262_144,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}

fn rule(name: &str, host: &str, prefix: &str, service: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(200),
        priority: 1,
        targets_max: 2,
        anonymous: false,
        home_regions: Vec::new(),
        destination: RouteDestination::Split(vec![WeightedService {
            service: service.into(),
            weight: 1.0,
        }]),
    }
}

fn services(names: &[&str]) -> Vec<ServiceRule> {
    names
        .iter()
        .map(|name| ServiceRule {
            name: (*name).into(),
            connections_max: 30,
            health_path: "/health".into(),
            warm_up: None,
        })
        .collect()
}

fn compile(routes: Vec<RouteRule>) -> Result<RouteTable, Vec<RouteFault>> {
    RouteTable::compile(7, routes, services(&["a", "b"]), None, limits())
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let table = compile(vec![
        rule("short", "one.example", "/x/", "a"),
        rule("long", "one.example", "/x/y/", "b"),
        rule("other", "two.example", "/x/y/z/", "a"),
    ])
    .unwrap();
    let found = |host, path| table.find(host, path).map(|rule| Arc::clone(&rule.name));
    assert_eq!(found("one.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(found("one.example:8080", "/x/q").as_deref(), Some("short"));
    assert_eq!(found("ONE.example", "/x/q").as_deref(), Some("short"));
    assert_eq!(found("one.example", "/x"), None);
    assert_eq!(found("three.example", "/x/"), None);
}

#[test]
fn every_fault_is_reported_at_once() {
    let mut no_time = rule("no-time", "one.example", "/t/", "a");
    no_time.timeout = Duration::ZERO;
    let mut no_weight = rule("no-weight", "one.example", "/w/", "a");
    no_weight.destination = RouteDestination::Split(vec![WeightedService {
        service: "a".into(),
        weight: 0.0,
    }]);
    let mut nowhere = rule("nowhere", "one.example", "/n/", "a");
    nowhere.destination = RouteDestination::Gather(GatherRule {
        shards: Vec::new(),
        top_k: 5,
        coverage_min: 0.5,
    });
    let faults = compile(vec![
        no_time,
        no_weight,
        nowhere,
        rule("unknown", "one.example", "/u/", "c"),
        rule("first", "one.example", "/s/", "a"),
        rule("second", "one.example", "/s/", "b"),
        rule("slash", "one.example", "/s", "b"),
    ])
    .unwrap_err();
    let name = |text: &str| -> Arc<str> { text.into() };
    for fault in [
        RouteFault::ZeroTimeout {
            route: name("no-time"),
        },
        RouteFault::ZeroWeight {
            route: name("no-weight"),
        },
        RouteFault::NoDestination {
            route: name("nowhere"),
        },
        RouteFault::UnknownService {
            route: name("unknown"),
            service: name("c"),
        },
        RouteFault::DuplicatePrefix {
            first: name("first"),
            second: name("second"),
        },
        RouteFault::InvalidPrefix {
            route: name("slash"),
        },
    ] {
        assert!(faults.contains(&fault), "{fault} is missing in {faults:?}");
    }
    assert_eq!(faults.len(), 6);
}

/// Guards against VMs of deployments without tenants and cold targets that wake up for rates.
#[test]
fn only_tenants_and_warm_up_rules_call_for_rates() {
    let routes = || vec![rule("only", "one.example", "/x/", "a")];
    let compile = |services, tenants| RouteTable::compile(7, routes(), services, tenants, limits());
    let plain = compile(services(&["a"]), None).unwrap();
    assert!(!plain.has_rates());
    let keyed = compile(services(&["a"]), Some(Vec::new())).unwrap();
    assert!(keyed.has_rates());
    let mut warming = services(&["a"]);
    warming[0].warm_up = Some(WarmUpRule {
        duration: Duration::from_secs(3),
        per_second: 10.0,
    });
    assert!(compile(warming, None).unwrap().has_rates());
}

/// Guards against a build that finds routes by their names and is told a name that several routes have.
#[test]
fn a_name_that_several_routes_have_is_not_told() {
    let routes = [
        ("find", "a.example"),
        ("find", "b.example"),
        ("look", "a.other"),
        ("-", "b.other"),
    ];
    let routes = routes.map(|(name, host)| rule(name, host, "/", "a"));
    let table = compile(routes.to_vec()).unwrap();
    let told = |host| &**table.unshared_name(table.find(host, "/").unwrap());
    assert_eq!(told("a.other"), "look");
    assert_eq!(told("b.other"), "-");
    for host in ["a.example", "b.example"] {
        let name = told(host);
        assert!(table.routes().all(|rule| *rule.name != *name), "{name}");
    }
}
