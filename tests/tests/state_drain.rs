//! A target drains while its owner, the VM that holds its lease, is lost.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_base::ShardHolding;
use fulmarweir_bench::{DaemonProcess, HttpCall, StandIn, Tier};
use fulmarweir_tests::{
    SERVICE, TestCaller, service_config, shard_target_settings, single_centre_settings,
};
use futures::future::join_all;
use http::Method;
use serde_json::json;
use tokio::time::{Instant, sleep};

const HOLDING: ShardHolding = ShardHolding {
    version: 42,
    shard: 0,
    of: 1,
};
/// Time after which a draining target must get no new work, even if its owner is lost.
const DRAIN_MAX: Duration = Duration::from_secs(5);
/// Time of searching after the loss, long enough to notice work later than [`DRAIN_MAX`].
const SEARCH_TIME: Duration = Duration::from_secs(6);
const SEARCH_PAUSE_MS: u64 = 25;

/// How the owner is lost.
#[derive(Clone, Copy, Debug)]
enum OwnerLoss {
    Killed,
    /// The process is paused: its connections stay open and silent.
    Frozen,
}

/// Returns the index of the VM to which the tier directs the target's announcements.
async fn owner_of(tier: &Tier, target: &StandIn) -> usize {
    let record = json!({
        "name": target.name(), "service": SERVICE, "address": target.address(),
        "incarnation": target.settings().incarnation, "state": "serving",
        "slots": target.settings().slots, "connections": target.settings().connections,
        "versions": [HOLDING],
    });
    let any = tier.daemons()[0].targets();
    let call = HttpCall::new(Method::POST, any, "/v1/announce", record.to_string())
        .header("content-type", "application/json");
    let reply = TestCaller::default().send(call).await;
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    let at: SocketAddr = body["at"].as_str().expect("an address").parse().unwrap();
    let mut daemons = tier.daemons().iter();
    daemons
        .position(|daemon| daemon.targets() == at)
        .expect("a VM of the tier")
}

/// Drains a target after its owner was lost, and checks that the other VMs stop using it.
async fn drain_without_owner(tier: &mut Tier, replica: u32, loss: OwnerLoss) {
    let caller = TestCaller::default();
    let settings = shard_target_settings(tier, HOLDING, replica);
    let target = StandIn::start(settings).await.unwrap();
    let owner = owner_of(tier, &target).await;
    let others: Vec<_> = (0..tier.daemons().len())
        .filter(|index| *index != owner)
        .map(|index| tier.daemons()[index].callers())
        .collect();
    wait_until_used(&caller, &others, &target).await;

    match loss {
        OwnerLoss::Killed => tier.daemon_mut(owner).kill().await.unwrap(),
        OwnerLoss::Frozen => tier.daemons()[owner].freeze().unwrap(),
    }
    let used = target.counters().requests;
    let load = async {
        let started = Instant::now();
        while started.elapsed() < SEARCH_TIME {
            let body = "{\"leaving\":true}";
            join_all(others.iter().map(|at| caller.search(*at, body))).await;
            sleep(Duration::from_millis(SEARCH_PAUSE_MS)).await;
        }
    };
    tokio::join!(load, target.drain());
    let last = target.counters().last_after_drain.unwrap_or_default();
    println!(
        "{loss:?} owner: last work {} ms after the drain",
        last.as_millis()
    );
    assert!(last < DRAIN_MAX, "{loss:?}: work after {last:?}");
    assert!(used > 0);

    match loss {
        OwnerLoss::Killed => tier.restart(owner).await.unwrap(),
        OwnerLoss::Frozen => tier.daemons()[owner].thaw().unwrap(),
    }
    target.stop().await;
}

/// Searches until the target has received some requests.
async fn wait_until_used(caller: &TestCaller, addresses: &[SocketAddr], target: &StandIn) {
    for _ in 0..400 {
        for address in addresses {
            caller.search(*address, "{}").await;
        }
        if target.counters().requests > 20 {
            return;
        }
        sleep(Duration::from_millis(25)).await;
    }
    panic!("{} is not used", target.name());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_work_after_its_owner_is_lost() {
    let mut tier = Tier::start(&single_centre_settings(4)).await.unwrap();
    let text = service_config("search", "");
    tier.submit_config(&text, 0).await.unwrap();
    let other_target = StandIn::start(shard_target_settings(&tier, HOLDING, 0))
        .await
        .unwrap();
    let addresses: Vec<_> = tier.daemons().iter().map(DaemonProcess::callers).collect();
    for address in addresses {
        TestCaller::default().wait_full_coverage(address, 1).await;
    }
    drain_without_owner(&mut tier, 1, OwnerLoss::Killed).await;
    drain_without_owner(&mut tier, 2, OwnerLoss::Frozen).await;
    other_target.stop().await;
    tier.stop().await.unwrap();
}
