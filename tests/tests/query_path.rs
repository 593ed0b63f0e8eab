//! Searches and acts through real daemons, with stand-in targets that drain, die or reply wrongly.

use std::{collections::BTreeSet, time::Duration};

use fulmarweir_base::ShardHolding;
use fulmarweir_bench::{
    DaemonProcess, FaultShare, HttpCall, ReplyFault, ServiceTime, StandIn, StandInBehaviour, Tier,
};
use fulmarweir_tests::{
    ActResult, SERVICE, TestCaller, service_config, shard_target_settings, single_centre_settings,
    start_targets,
};
use futures::future::join_all;
use http::Method;
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread")]
async fn a_roll_out_with_repartition_never_mixes_versions() {
    let tier = Tier::start(&single_centre_settings(2)).await.unwrap();
    let text = service_config("search", "prefer = coverage\n");
    tier.submit_config(&text, 0).await.unwrap();
    let old = start_targets(&tier, 41, 3, 2).await;
    let caller = TestCaller::default();
    let address = tier.daemons()[0].callers();
    caller.wait_full_coverage(address, 3).await;

    // One target after another also takes shards of a new version with another shard count.
    let mut versions = BTreeSet::new();
    for (number, target) in old.iter().enumerate() {
        for shard in 0..4 {
            if (shard + u32::try_from(number).unwrap()) % 2 == 0 {
                let holding = ShardHolding {
                    version: 42,
                    shard,
                    of: 4,
                };
                target.add_holding(holding);
            }
        }
        versions.extend(versions_seen(&caller, address, 20).await);
    }
    for target in &old {
        target.drop_version(41);
        versions.extend(versions_seen(&caller, address, 20).await);
    }
    assert_eq!(versions, BTreeSet::from([41, 42]));
    caller.wait_full_coverage(address, 4).await;
    tier.stop().await.unwrap();
}

async fn versions_seen(
    caller: &TestCaller,
    address: std::net::SocketAddr,
    searches: u32,
) -> BTreeSet<u64> {
    let bodies: Vec<_> = (0..searches).map(|n| format!("{{\"n\":{n}}}")).collect();
    // `search` checks that each answer belongs to its request and mixes no versions.
    let answers = join_all(bodies.iter().map(|body| caller.search(address, body))).await;
    let answers = answers.into_iter().flatten();
    answers
        .filter(|answer| answer.coverage.answered == answer.coverage.shards)
        .map(|answer| answer.version)
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_replies_never_reach_a_caller() {
    let tier = Tier::start(&single_centre_settings(2)).await.unwrap();
    let text = service_config("search", "prefer = coverage\nextra-load = 0.5\n");
    tier.submit_config(&text, 0).await.unwrap();
    let targets = start_targets(&tier, 42, 3, 2).await;
    let caller = TestCaller::default();
    let address = tier.daemons()[0].callers();
    caller.wait_full_coverage(address, 3).await;

    let faults = [
        ReplyFault::BadJson,
        ReplyFault::Crossed,
        ReplyFault::Doubled,
        ReplyFault::Late,
        ReplyFault::Truncated,
        ReplyFault::Dies,
    ];
    let shares = faults.map(|fault| FaultShare { fault, share: 0.03 });
    for target in &targets {
        target.set_behaviour(StandInBehaviour {
            faults: shares.to_vec(),
            ..StandInBehaviour::default()
        });
    }
    let bodies: Vec<_> = (0..300).map(|n| format!("{{\"n\":{n}}}")).collect();
    let mut answered = 0;
    for chunk in bodies.chunks(10) {
        let answers = join_all(chunk.iter().map(|body| caller.search(address, body))).await;
        answered += answers.iter().flatten().count();
    }
    let planted: u64 = targets.iter().map(|t| t.counters().faulty_replies).sum();
    assert!(planted > 50, "{planted} faults were planted");
    assert!(answered > 200, "{answered} of 300 answered");
    let metrics = tier.metrics(&tier.daemons()[0]).await;
    assert!(metrics.contains("reason=\"bad-echo\""), "{metrics}");
    tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_work_after_a_second() {
    let tier = Tier::start(&single_centre_settings(3)).await.unwrap();
    tier.submit_config(&service_config("search", ""), 0)
        .await
        .unwrap();
    let targets = start_targets(&tier, 42, 2, 2).await;
    let caller = TestCaller::default();
    for daemon in tier.daemons() {
        caller.wait_full_coverage(daemon.callers(), 2).await;
    }
    let addresses: Vec<_> = tier.daemons().iter().map(DaemonProcess::callers).collect();
    let load = async {
        for round in 0..150 {
            let body = format!("{{\"n\":{round}}}");
            let searches = addresses.iter().map(|at| caller.search(*at, &body));
            let answers = join_all(searches).await;
            assert!(answers.iter().all(Option::is_some), "round {round}");
            sleep(Duration::from_millis(15)).await;
        }
    };
    let drain = async {
        sleep(Duration::from_millis(500)).await;
        targets[0].drain().await;
    };
    tokio::join!(load, drain);
    let last = targets[0].counters().last_after_drain.unwrap_or_default();
    assert!(last <= Duration::from_secs(1), "work after {last:?}");
    tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_of_targets_hold_while_vms_come_and_go() {
    let mut tier = Tier::start(&single_centre_settings(3)).await.unwrap();
    tier.submit_config(&service_config("search", ""), 0)
        .await
        .unwrap();
    let targets = start_targets(&tier, 42, 3, 2).await;
    let caller = TestCaller::default();
    caller
        .wait_full_coverage(tier.daemons()[0].callers(), 3)
        .await;
    for round in 0..3 {
        tier.daemon_mut(2).kill().await.unwrap();
        search_all(&tier, &caller, &[0, 1], round).await;
        tier.restart(2).await.unwrap();
        search_all(&tier, &caller, &[0, 1, 2], round).await;
    }
    // The limits of a stand-in target, also in `service_config`: 30 connections and 3 slots.
    for target in &targets {
        let counters = target.counters();
        assert_eq!(counters.connections_refused, 0, "{}", target.name());
        assert!(counters.connections_max <= 30, "{}", target.name());
        assert!(counters.running_max <= 3, "{}", target.name());
        assert_eq!(counters.shed, 0, "{}", target.name());
    }
    tier.stop().await.unwrap();
}

async fn search_all(tier: &Tier, caller: &TestCaller, daemons: &[usize], round: u32) {
    for batch in 0..10 {
        let body = format!("{{\"round\":{round},\"batch\":{batch}}}");
        let daemons = daemons.iter().map(|index| &tier.daemons()[*index]);
        let searches = daemons.flat_map(|daemon| {
            let one = caller.search(daemon.callers(), &body);
            let other = caller.search(daemon.callers(), &body);
            [one, other]
        });
        join_all(searches).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_act_whose_target_dies_may_have_run_and_is_not_run_again() {
    let tier = Tier::start(&single_centre_settings(2)).await.unwrap();
    tier.submit_config(&service_config("act", ""), 0)
        .await
        .unwrap();
    let targets = start_targets(&tier, 42, 1, 2).await;
    let caller = TestCaller::default();
    wait_for_acts(&tier, &caller).await;
    for target in &targets {
        let fault = ReplyFault::Dies;
        target.set_behaviour(StandInBehaviour {
            faults: vec![FaultShare { fault, share: 1.0 }],
            ..StandInBehaviour::default()
        });
    }
    let timeout = Duration::from_secs(5);
    for _ in 0..3 {
        for daemon in tier.daemons() {
            let result = caller.act(daemon.callers(), "k-1", timeout).await;
            assert_eq!(result, ActResult::MayHaveRun);
        }
    }
    let runs: u64 = targets.iter().map(|target| runs_of(target, "k-1")).sum();
    assert_eq!(runs, 1);
    tier.stop().await.unwrap();
}

fn runs_of(target: &StandIn, key: &str) -> u64 {
    let runs = target.runs().into_iter();
    runs.filter(|run| run.key == key).map(|run| run.runs).sum()
}

async fn wait_for_acts(tier: &Tier, caller: &TestCaller) {
    for daemon in tier.daemons() {
        for number in 0..200 {
            let key = format!("warm-{}-{number}", daemon.name());
            let result = caller
                .act(daemon.callers(), &key, Duration::from_secs(5))
                .await;
            if result == ActResult::Ran {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn only_declared_dependencies_may_be_called() {
    let tier = Tier::start(&single_centre_settings(1)).await.unwrap();
    let text = format!(
        "{}[service caller/declared]\nkind = search\ndeadline-ms = 300\ndepends = {SERVICE}\n\
         [service caller/other]\nkind = search\ndeadline-ms = 300\n",
        service_config("search", "")
    );
    tier.submit_config(&text, 0).await.unwrap();
    let _targets = start_targets(&tier, 42, 1, 1).await;
    let caller = TestCaller::default();
    let address = tier.daemons()[0].callers();
    caller.wait_full_coverage(address, 1).await;
    let nested = |from: &str| {
        let path = format!("/v1/search/{SERVICE}");
        HttpCall::new(Method::POST, address, &path, "{}").header("fulmarweir-from", from)
    };
    assert_eq!(caller.send(nested("caller/declared")).await.status, 200);
    for from in ["caller/other", "caller/unknown"] {
        let reply = caller.send(nested(from)).await;
        assert_eq!(reply.status, 403);
        assert_eq!(reply.header("fulmarweir-run"), Some("not-run"));
    }
    tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_cuts_off_no_request() {
    let mut tier = Tier::start(&single_centre_settings(3)).await.unwrap();
    let text = service_config("search", "prefer = coverage\n");
    tier.submit_config(&text, 0).await.unwrap();
    let targets = start_targets(&tier, 42, 2, 2).await;
    let caller = TestCaller::default();
    let addresses: Vec<_> = tier.daemons().iter().map(DaemonProcess::callers).collect();
    for address in &addresses {
        caller.wait_full_coverage(*address, 2).await;
    }
    for target in &targets {
        let service_time = ServiceTime::Constant { millis: 60.0 };
        target.set_behaviour(StandInBehaviour {
            service_time,
            ..StandInBehaviour::default()
        });
    }
    // The requests are in flight when the daemon is told to stop.
    let searches: Vec<_> = (0..12)
        .map(|number| {
            let caller = caller.clone();
            let address = addresses[number % 3];
            tokio::spawn(
                async move { caller.search(address, &format!("{{\"n\":{number}}}")).await },
            )
        })
        .collect();
    sleep(Duration::from_millis(20)).await;
    let status = tier.daemon_mut(0).terminate().await.unwrap();
    assert!(status.success(), "{status}");
    for search in searches {
        let answer = search.await.unwrap();
        assert_eq!(answer.map(|answer| answer.coverage.answered), Some(2));
    }
    // The other daemons answer with full coverage immediately after the shutdown.
    let answer = caller.search(addresses[1], "{\"after\":true}").await;
    assert_eq!(answer.map(|answer| answer.coverage.answered), Some(2));
    tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_shard_is_reported_missing_or_refused() {
    let tier = Tier::start(&single_centre_settings(1)).await.unwrap();
    let text = service_config("search", "");
    tier.submit_config(&text, 0).await.unwrap();
    let holding = |shard| ShardHolding {
        version: 7,
        shard,
        of: 3,
    };
    let mut targets = Vec::new();
    for shard in [0, 2] {
        let settings = shard_target_settings(&tier, holding(shard), 0);
        targets.push(StandIn::start(settings).await.unwrap());
    }
    let caller = TestCaller::default();
    let address = tier.daemons()[0].callers();
    caller.wait_full_coverage(address, 2).await;
    let answer = caller.search(address, "{}").await.unwrap();
    assert_eq!(answer.coverage.missing, [1]);
    let strict = service_config("search", "min-coverage = 0.9\n");
    tier.submit_config(&strict, 1).await.unwrap();
    assert!(caller.search(address, "{}").await.is_none());
    tier.stop().await.unwrap();
}
