//! Several data centres: searches over shards of another data centre, cut links, and propagation of
//! changes.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_base::ShardHolding;
use fulmarweir_bench::{CentrePlan, DaemonProcess, LinkState, StandIn, Tier, TierSettings};
use fulmarweir_tests::{
    SubmitOutcome, TestCaller, TestOperator, numbered_config, service_config,
    shard_target_settings, single_centre_settings,
};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

const CENTRES: [&str; 3] = ["ub-sukhbaatar", "dk-central", "er-bayan"];
/// Time in which answers must cover all shards again once data centres reach each other.
const RECOVERY_MAX: Duration = Duration::from_secs(5);
const DETECTION_POLLS_MAX: u32 = 300;
const POLL_PAUSE: Duration = Duration::from_millis(50);

fn three_centre_settings(vms: u32) -> TierSettings {
    let mut settings = single_centre_settings(vms);
    let plan = |name: &str| CentrePlan {
        name: name.parse().unwrap(),
        region: name.parse().unwrap(),
        vms,
    };
    settings.centres = CENTRES.map(plan).to_vec();
    settings.voters = 3;
    settings
}

/// Starts a target of one shard that announces itself in one data centre.
async fn start_target_in(tier: &Tier, centre: &str, shard: u32) -> StandIn {
    let holding = ShardHolding {
        version: 7,
        shard,
        of: 2,
    };
    let mut settings = shard_target_settings(tier, holding, 0);
    let daemons = tier.daemons().iter();
    let daemons = daemons.filter(|daemon| daemon.centre().as_str() == centre);
    settings.vms = daemons.map(DaemonProcess::targets).collect();
    StandIn::start(settings).await.unwrap()
}

/// Searches until exactly the shards `missing` are missing, and checks each answer until then.
async fn wait_missing(caller: &TestCaller, address: SocketAddr, missing: &[u32]) {
    for _ in 0..DETECTION_POLLS_MAX {
        let answer = caller.search(address, "{\"cut\":true}").await;
        if answer.is_some_and(|answer| answer.coverage.missing == missing) {
            return;
        }
        sleep(POLL_PAUSE).await;
    }
    panic!("no answer at {address} misses exactly {missing:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shard_of_another_centre_is_searched_and_reported_missing_during_a_cut() {
    let mut settings = three_centre_settings(2);
    settings.proxy_peers = true;
    let tier = Tier::start(&settings).await.unwrap();
    let text = service_config("search", "prefer = coverage\n");
    tier.submit_config(&text, 0).await.unwrap();
    let _first = start_target_in(&tier, CENTRES[0], 0).await;
    let _second = start_target_in(&tier, CENTRES[1], 1).await;
    let caller = TestCaller::default();
    let callers: Vec<_> = tier.daemons().iter().map(DaemonProcess::callers).collect();
    for address in &callers {
        caller.wait_full_coverage(*address, 2).await;
    }

    tier.set_links_of_group(&[0, 1], LinkState::cut());
    for address in &callers[..2] {
        wait_missing(&caller, *address, &[1]).await;
    }
    for address in &callers[2..] {
        wait_missing(&caller, *address, &[0]).await;
    }

    tier.set_links_of_group(&[0, 1], LinkState::default());
    let healed = Instant::now();
    for address in &callers {
        caller.wait_full_coverage(*address, 2).await;
        let after = healed.elapsed();
        assert!(
            after < RECOVERY_MAX,
            "full coverage at {address} after {after:?}"
        );
    }
    println!(
        "full coverage everywhere after {} ms",
        healed.elapsed().as_millis()
    );
    tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_diskless_vm_restarts_inside_a_centre_that_is_cut_off() {
    let mut settings = three_centre_settings(2);
    settings.proxy_peers = true;
    let mut tier = Tier::start(&settings).await.unwrap();
    let operators: Vec<_> = tier
        .daemons()
        .iter()
        .map(DaemonProcess::operators)
        .collect();
    let operator = TestOperator::default();
    tier.submit_config(&numbered_config(1), 0).await.unwrap();
    tier.submit_config(&numbered_config(2), 1).await.unwrap();
    assert!(tier.daemons()[0].votes() && tier.daemons()[1].data_folder().is_none());

    tier.set_links_of_group(&[0, 1], LinkState::cut());
    for at in 2..5 {
        let id = format!("change-{at}");
        let outcome = operator
            .submit(operators[2], at, &id, &numbered_config(at))
            .await;
        assert_eq!(outcome, SubmitOutcome::Accepted(at + 1));
    }
    // The newest version in the cut-off data centre is the one on its other VM.
    tier.restart(1).await.unwrap();
    assert_eq!(operator.version(operators[1]).await, Some(2));
    assert_eq!(operator.version(operators[0]).await, Some(2));

    tier.set_links_of_group(&[0, 1], LinkState::default());
    let healed = Instant::now();
    for vm in &operators[..2] {
        wait_version(&operator, *vm, 5).await;
    }
    let after = healed.elapsed();
    assert!(after < RECOVERY_MAX, "caught up after {after:?}");
    println!("caught up {} ms after the heal", after.as_millis());
    tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_on_nine_vms() {
    const CHANGES: u64 = 40;
    let tier = Tier::start(&three_centre_settings(3)).await.unwrap();
    let operators: Vec<_> = tier
        .daemons()
        .iter()
        .map(DaemonProcess::operators)
        .collect();
    let operator = TestOperator::default();
    let mut times = Vec::new();
    for at in 0..CHANGES {
        let address = operators[usize::try_from(at).unwrap() % operators.len()];
        let id = format!("change-{at}");
        let outcome = operator
            .submit(address, at, &id, &numbered_config(at))
            .await;
        assert_eq!(outcome, SubmitOutcome::Accepted(at + 1));
        let accepted = Instant::now();
        let waits = operators
            .iter()
            .map(|vm| wait_version(&operator, *vm, at + 1));
        join_all(waits).await;
        times.push(accepted.elapsed());
    }
    times.sort_unstable();
    let rank = |share: usize| times[(times.len() - 1) * share / 100].as_millis();
    println!(
        "accepted to in force on {} VMs, {CHANGES} changes: p50 {} ms, p90 {} ms, max {} ms",
        operators.len(),
        rank(50),
        rank(90),
        rank(100)
    );
    tier.stop().await.unwrap();
}

async fn wait_version(operator: &TestOperator, address: SocketAddr, version: u64) {
    for _ in 0..2000 {
        if operator.version(address).await >= Some(version) {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("version {version} is not in force at {address}");
}
