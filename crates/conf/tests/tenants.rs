//! Tests of the keys of tenants and of the look-up of the tenant of a request.

use std::{collections::HashSet, sync::Arc, time::Duration};

use fulmarweir_conf::{
    CallerIdentity, CallerLimits, KeyFault, RouteDestination, RouteFault, RouteRule, RouteTable,
    ServiceRule, TenantRule, WeightedService,
};

fn route(name: &str, anonymous: bool) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: name.into(),
        prefix: "/".into(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(200),
        priority: 1,
        targets_max: 2,
        anonymous,
        home_regions: Vec::new(),
        destination: RouteDestination::Split(vec![WeightedService {
            service: "a".into(),
            weight: 1.0,
        }]),
    }
}

fn tenant(name: &str, keys: &[&str]) -> TenantRule {
    TenantRule {
        name: name.into(),
        ordinal: 0,
        keys: keys.iter().map(|key| Arc::from(*key)).collect(),
        priority: None,
        quota: None,
        home_regions: Vec::new(),
    }
}

fn compile(tenants: Option<Vec<TenantRule>>) -> Result<RouteTable, Vec<RouteFault>> {
    let routes = vec![route("keyed", false), route("open", true)];
    let services = vec![ServiceRule {
        name: "a".into(),
        connections_max: 30,
        health_path: "/health".into(),
        warm_up: None,
    }];
    let limits = CallerLimits {
        head_max_bytes: 16_384,
        body_max_bytes: 262_144,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteTable::compile(7, routes, services, tenants, limits)
}

fn two_tenants() -> RouteTable {
    let tenants = vec![tenant("ordu", &["k-1", "k-2"]), tenant("kars", &["k-3"])];
    compile(Some(tenants)).unwrap()
}

/// Returns the name of the tenant of a request to `host` with these `Authorization` headers.
fn identify(table: &RouteTable, host: &str, values: &[&str]) -> Result<String, KeyFault> {
    let route = table.find(host, "/").unwrap();
    let values = values.iter().map(|value| value.as_bytes());
    let identity = table.identify(route, values)?;
    Ok(label(&identity))
}

fn label(identity: &CallerIdentity) -> String {
    match identity {
        CallerIdentity::Unchecked => "unchecked".to_owned(),
        CallerIdentity::Anonymous => "anonymous".to_owned(),
        CallerIdentity::Tenant(tenant) => tenant.name.to_string(),
    }
}

/// Guards against valid forms of the header that are rejected.
#[test]
fn each_key_identifies_its_tenant() {
    let table = two_tenants();
    for (value, name) in [
        ("Bearer k-1", "ordu"),
        ("Bearer k-2", "ordu"),
        ("Bearer k-3", "kars"),
        ("bearer k-1", "ordu"),
        ("BEARER  k-1", "ordu"),
        (" Bearer k-1 ", "ordu"),
    ] {
        let found = identify(&table, "keyed", &[value]);
        assert_eq!(found.as_deref(), Ok(name), "{value:?}");
    }
}

/// Guards against requests that are admitted without exactly one valid key.
#[test]
fn other_headers_identify_nobody() {
    let table = two_tenants();
    let missing: [&[&str]; 11] = [
        &[],
        &[""],
        &["Bearer"],
        &["Bearer "],
        &["k-1"],
        &["Basic k-1"],
        &["Bearerk-1"],
        &["Bearer k-1 k-2"],
        &["Bearer k-1,"],
        &["Bearer k-1", "Bearer k-1"],
        &["Bearer k-1", "Basic x"],
    ];
    for values in missing {
        let expected = match values {
            // A comma can be a part of a key.
            ["Bearer k-1,"] => KeyFault::Unknown,
            _ => KeyFault::Missing,
        };
        assert_eq!(
            identify(&table, "keyed", values),
            Err(expected),
            "{values:?}"
        );
    }
    for value in ["Bearer k-4", "Bearer K-1", "Bearer k-1x", "Bearer ordu"] {
        let found = identify(&table, "keyed", &[value]);
        assert_eq!(found, Err(KeyFault::Unknown), "{value:?}");
    }
    let route = table.find("keyed", "/").unwrap();
    let not_text: [&[u8]; 1] = [b"Bearer \xff"];
    assert_eq!(table.identify(route, not_text), Err(KeyFault::Missing));
}

/// Guards against keys that are required where none is.
#[test]
fn anonymous_routes_and_tables_without_tenants_need_no_key() {
    let table = two_tenants();
    for values in [&[][..], &["Bearer k-1"], &["Bearer k-4"]] {
        assert_eq!(identify(&table, "open", values).unwrap(), "anonymous");
    }
    let table = compile(None).unwrap();
    for host in ["open", "keyed"] {
        assert_eq!(
            identify(&table, host, &["Bearer k-4"]).unwrap(),
            "unchecked"
        );
    }
    // A list of tenants without any still requires keys.
    let table = compile(Some(Vec::new())).unwrap();
    let found = identify(&table, "keyed", &["Bearer k-1"]);
    assert_eq!(found, Err(KeyFault::Unknown));
}

/// Guards against handed-over requests that run for no tenant, or for one that the origin did not
/// find.
#[test]
fn handed_over_requests_name_exactly_one_known_tenant() {
    let table = two_tenants();
    let resolve = |host, names: &[&str]| {
        let route = table.find(host, "/").unwrap();
        let identity = table.resolve(route, names.iter().map(|name| name.as_bytes()), 0);
        identity.as_ref().map(label)
    };
    assert_eq!(resolve("keyed", &["ordu"]).as_deref(), Some("ordu"));
    for names in [&[][..], &["ordu", "ordu"], &["nobody"], &["k-1"], &[""]] {
        assert_eq!(resolve("keyed", names), None, "{names:?}");
    }
    assert_eq!(resolve("open", &[]).as_deref(), Some("anonymous"));
}

/// Guards against messages and debug output that contain a key.
#[test]
fn faults_and_debug_output_contain_no_key() {
    let shared = vec![tenant("ordu", &["k-1"]), tenant("kars", &["k-1"])];
    let faults = compile(Some(shared)).unwrap_err();
    assert_eq!(faults.len(), 1, "{faults:?}");
    let fault = faults[0].to_string();
    assert_eq!(fault, "tenants ordu and kars share a key");
    let table = two_tenants();
    assert!(!format!("{table:?}").contains("k-1"));
}

/// Guards against names that a header cannot carry, so that targets would get another one or none.
#[test]
fn names_that_no_header_carries_are_invalid() {
    for name in ["", " ordu", "ordu ", "or\ndu", "or\u{7f}du", "or\u{85}du"] {
        let faults = compile(Some(vec![tenant(name, &["k-1"])])).unwrap_err();
        let expected = RouteFault::InvalidTenantName {
            tenant: name.into(),
        };
        assert_eq!(faults, [expected], "{name:?}");
    }
    assert!(compile(Some(vec![tenant("Örgüt 7", &["k-1"])])).is_ok());
}

/// Guards against one tenant that lists the same key twice and is rejected for it.
#[test]
fn a_tenant_may_repeat_its_own_key() {
    let table = compile(Some(vec![tenant("ordu", &["k-1", "k-1"])])).unwrap();
    assert_eq!(identify(&table, "keyed", &["Bearer k-1"]).unwrap(), "ordu");
}

/// Guards against a valid configuration that is refused, or whose tenants of one name are taken for each other.
#[test]
fn tenants_of_one_name_are_told_apart() {
    let strict = TenantRule {
        priority: Some(0),
        ..tenant("ordu", &["k-2"])
    };
    let rules = vec![tenant("ordu", &["k-1"]), strict, tenant("kars", &["k-3"])];
    let table = compile(Some(rules)).unwrap();
    let tenants = table.tenants().unwrap();
    assert_eq!(tenants.iter().count(), 3);
    let ids: HashSet<Arc<str>> = tenants.iter().map(|tenant| tenant.id()).collect();
    assert_eq!(ids.len(), 3);
    assert_eq!(&*tenants.of_key("k-1").unwrap().id(), "ordu");
    let second = tenants.of_key("k-2").unwrap();
    assert_eq!((second.ordinal, second.priority), (1, Some(0)));
    // A broker is told the name and the ordinal.
    let route = table.find("keyed", "/").unwrap();
    let resolve = |ordinal| table.resolve(route, [&b"ordu"[..]], ordinal);
    for key in ["k-1", "k-2"] {
        let tenant = tenants.of_key(key).unwrap();
        let identity = CallerIdentity::Tenant(Arc::clone(tenant));
        assert_eq!(resolve(tenant.ordinal), Some(identity), "{key}");
    }
    assert_eq!(resolve(2), None);
}

/// Guards against a key that would belong to two tenants since these have one name.
#[test]
fn tenants_of_one_name_share_no_key() {
    let rules = vec![tenant("ordu", &["k-1"]), tenant("ordu", &["k-2", "k-1"])];
    let expected = RouteFault::SharedKey {
        first: "ordu".into(),
        second: "ordu".into(),
    };
    assert_eq!(compile(Some(rules)).unwrap_err(), [expected]);
}
