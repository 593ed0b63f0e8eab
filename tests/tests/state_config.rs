//! Changes of the configuration on real daemons that are killed, restarted and cut off.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_bench::{DaemonProcess, LinkState, Tier};
use fulmarweir_tests::{
    SubmitOutcome, TestCaller, TestOperator, VersionWatch, numbered_config, single_centre_settings,
    start_targets,
};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

/// Time in which a daemon must have the newest version once its links are healed.
const CATCH_UP_MAX: Duration = Duration::from_secs(5);
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Delay between daemons, one way, where a test needs one.
const LINK_DELAY: Duration = Duration::from_millis(20);
/// How much later than another one a change is submitted.
const CHANGE_OFFSETS: [Duration; 8] = [
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(55),
    Duration::from_millis(65),
    Duration::from_millis(75),
    Duration::from_millis(85),
    Duration::from_millis(95),
    Duration::from_millis(110),
];

fn operator_addresses(tier: &Tier) -> Vec<SocketAddr> {
    let daemons = tier.daemons().iter();
    daemons.map(DaemonProcess::operators).collect()
}

/// Submits a change to one daemon after the other until its outcome is known.
async fn submit_until_decided(
    operator: &TestOperator,
    addresses: &[SocketAddr],
    at: u64,
    id: &str,
    text: &str,
) -> SubmitOutcome {
    for attempt in 0..50 {
        let address = addresses[attempt % addresses.len()];
        let outcome = operator.submit(address, at, id, text).await;
        if matches!(
            outcome,
            SubmitOutcome::Accepted(_) | SubmitOutcome::Conflict(_)
        ) {
            return outcome;
        }
        sleep(POLL_PAUSE).await;
    }
    panic!("no outcome of {id}");
}

/// Submits changes from version `from` on until version `to` is accepted, at each daemon in turn.
async fn submit_up_to(operator: &TestOperator, addresses: &[SocketAddr], from: u64, to: u64) {
    for at in from..to {
        let first = usize::try_from(at).unwrap() % addresses.len();
        let mut order = addresses.to_vec();
        order.rotate_left(first);
        let id = format!("change-{}", at + 1);
        let outcome =
            submit_until_decided(operator, &order, at, &id, &numbered_config(at + 1)).await;
        assert_eq!(outcome, SubmitOutcome::Accepted(at + 1));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn exactly_one_of_racing_operators_wins() {
    let tier = Tier::start(&single_centre_settings(4)).await.unwrap();
    let addresses = operator_addresses(&tier);
    let watch = VersionWatch::start(addresses.clone());
    let operator = TestOperator::default();
    for at in 0..12 {
        let racers = (0..6).map(|racer| {
            let mut order = addresses.clone();
            order.rotate_left(racer % addresses.len());
            let operator = &operator;
            async move {
                let id = format!("race-{at}-{racer}");
                let text = numbered_config(at * 10 + racer as u64);
                submit_until_decided(operator, &order, at, &id, &text).await
            }
        });
        let outcomes = join_all(racers).await;
        let winners: Vec<_> = (0..outcomes.len())
            .filter(|racer| outcomes[*racer] == SubmitOutcome::Accepted(at + 1))
            .collect();
        let [winner] = winners[..] else {
            panic!("winners {winners:?} of version {}: {outcomes:?}", at + 1);
        };
        let losers = outcomes
            .iter()
            .filter(|outcome| **outcome == SubmitOutcome::Conflict(at + 1));
        assert_eq!(losers.count(), outcomes.len() - 1, "{outcomes:?}");
        tier.wait_config(at + 1).await.unwrap();
        for address in &addresses {
            let text = operator.text(*address).await.unwrap();
            assert_eq!(text, numbered_config(at * 10 + winner as u64));
        }
    }
    assert!(watch.stop().await > 0);
    tier.stop().await.unwrap();
}

/// Guards against a daemon that puts its own operator's text in force under a version for which another
/// text was accepted, because both operators used the same change ID.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_texts_with_one_change_id_the_accepted_one_is_in_force_everywhere() {
    let mut settings = single_centre_settings(3);
    settings.proxy_peers = true;
    let tier = Tier::start(&settings).await.unwrap();
    let addresses = operator_addresses(&tier);
    let operator = TestOperator::default();
    for (one, other) in [(0, 1), (0, 2), (1, 2)] {
        tier.set_link(one, other, LinkState::delayed(LINK_DELAY));
    }
    // With one of the offsets, the second change is decided before its daemon hears of the first one.
    for (at, offset) in (0..).zip(CHANGE_OFFSETS) {
        let id = format!("shared-{at}");
        let submissions = addresses[..2].iter().enumerate().map(|(index, address)| {
            let (operator, id) = (&operator, &id);
            async move {
                sleep(offset * u32::try_from(index).unwrap()).await;
                let text = numbered_config(at * 10 + index as u64);
                let outcome = submit_until_decided(operator, &[*address], at, id, &text).await;
                assert_eq!(outcome, SubmitOutcome::Accepted(at + 1));
            }
        });
        join_all(submissions).await;
        tier.wait_config(at + 1).await.unwrap();
        let mut texts = Vec::new();
        for address in &addresses {
            texts.push(operator.text(*address).await.unwrap());
        }
        assert!(texts.iter().all(|text| *text == texts[0]), "{texts:?}");
    }
    tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resent_change_gets_its_first_outcome() {
    let mut tier = Tier::start(&single_centre_settings(3)).await.unwrap();
    let addresses = operator_addresses(&tier);
    let operator = TestOperator::default();
    let text = numbered_config(1);
    // The operator disconnects before the answer, which takes several synced writes.
    let timeout = Duration::from_millis(1);
    let lost = operator
        .submit_within(addresses[0], 0, "resent", &text, timeout)
        .await;
    assert!(matches!(
        lost,
        SubmitOutcome::Undecided | SubmitOutcome::Accepted(1)
    ));
    let outcome = submit_until_decided(&operator, &addresses[1..], 0, "resent", &text).await;
    assert_eq!(outcome, SubmitOutcome::Accepted(1));
    let late = operator
        .submit(addresses[2], 0, "late", &numbered_config(9))
        .await;
    assert_eq!(late, SubmitOutcome::Conflict(1));
    submit_up_to(&operator, &addresses, 1, 5).await;

    for address in &addresses {
        let outcome = operator.submit(*address, 0, "resent", &text).await;
        assert_eq!(outcome, SubmitOutcome::Accepted(1));
        let late = operator
            .submit(*address, 0, "late", &numbered_config(9))
            .await;
        assert!(matches!(late, SubmitOutcome::Conflict(_)), "{late:?}");
    }
    tier.daemon_mut(0).kill().await.unwrap();
    let outcome = submit_until_decided(&operator, &addresses[1..], 0, "resent", &text).await;
    assert_eq!(outcome, SubmitOutcome::Accepted(1));
    tier.restart(0).await.unwrap();
    let outcome = submit_until_decided(&operator, &addresses[..1], 0, "resent", &text).await;
    assert_eq!(outcome, SubmitOutcome::Accepted(1));
    let accepted = operator.accepted(addresses[0]).await.unwrap();
    let resent = accepted.iter().filter(|id| *id == "resent");
    assert_eq!((resent.count(), accepted.len()), (1, 5));
    tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_missed_hundreds_of_changes_is_ready_only_with_the_newest() {
    const CHANGES: u64 = 220;
    let mut tier = Tier::start(&single_centre_settings(4)).await.unwrap();
    let addresses = operator_addresses(&tier);
    let operator = TestOperator::default();
    submit_up_to(&operator, &addresses, 0, 3).await;
    assert!(!tier.daemons()[3].votes());
    tier.daemon_mut(3).kill().await.unwrap();
    submit_up_to(&operator, &addresses[..3], 3, CHANGES).await;

    tier.daemon_mut(3).spawn().unwrap();
    let started = Instant::now();
    while !operator.is_ready(addresses[3]).await {
        assert!(started.elapsed() < Duration::from_secs(30), "never ready");
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(operator.version(addresses[3]).await, Some(CHANGES));
    let text = operator.text(addresses[3]).await.unwrap();
    assert_eq!(text, numbered_config(CHANGES));
    tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_cut_off_serves_its_last_version_and_catches_up() {
    let mut settings = single_centre_settings(4);
    settings.proxy_peers = true;
    let tier = Tier::start(&settings).await.unwrap();
    let addresses = operator_addresses(&tier);
    let watch = VersionWatch::start(addresses.clone());
    let operator = TestOperator::default();
    submit_up_to(&operator, &addresses, 0, 2).await;
    tier.wait_config(2).await.unwrap();
    let _targets = start_targets(&tier, 42, 2, 1).await;
    let caller = TestCaller::default();
    for daemon in tier.daemons() {
        caller.wait_full_coverage(daemon.callers(), 2).await;
    }

    tier.set_links_of_group(&[3], LinkState::cut());
    submit_up_to(&operator, &addresses[..3], 2, 8).await;
    wait_until_isolated(&operator, addresses[3]).await;
    let status = operator.status(addresses[3]).await.unwrap();
    assert_eq!(status.config.version, 2);
    let answer = caller.search(tier.daemons()[3].callers(), "{}").await;
    let coverage = answer.expect("an answer").coverage;
    assert_eq!(coverage.answered, coverage.shards);
    let outcome = operator
        .submit(addresses[3], 2, "cut-off", &numbered_config(99))
        .await;
    assert!(
        matches!(outcome, SubmitOutcome::NotRun | SubmitOutcome::Undecided),
        "{outcome:?}"
    );

    tier.set_links_of_group(&[3], LinkState::default());
    let healed = Instant::now();
    while operator.version(addresses[3]).await != Some(8) {
        assert!(healed.elapsed() < CATCH_UP_MAX, "not caught up");
        sleep(POLL_PAUSE).await;
    }
    println!("caught up after {} ms", healed.elapsed().as_millis());
    let accepted = operator.accepted(addresses[3]).await.unwrap();
    assert!(!accepted.iter().any(|id| id == "cut-off"), "{accepted:?}");
    assert!(watch.stop().await > 0);
    tier.stop().await.unwrap();
}

/// Waits until a daemon's status reports that it reaches no other member and no voter.
async fn wait_until_isolated(operator: &TestOperator, address: SocketAddr) {
    for _ in 0..400 {
        if let Some(status) = operator.status(address).await {
            let alive = status
                .members
                .iter()
                .filter(|member| member.state == "alive");
            let mut voters = status.voters.set.iter();
            if alive.count() <= 1 && voters.all(|voter| voter.state == "unreachable") {
                return;
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("{address} does not report that it is cut off");
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_killed_voters() {
    let mut tier = Tier::start(&single_centre_settings(3)).await.unwrap();
    let addresses = operator_addresses(&tier);
    let operator = TestOperator::default();
    let watch = VersionWatch::start(addresses.clone());
    for round in 0..3_u64 {
        let victim = usize::try_from(round).unwrap();
        let (from, to) = (round * 10, round * 10 + 10);
        let changes = submit_up_to(&operator, &addresses, from, to);
        let faults = async {
            sleep(Duration::from_millis(15)).await;
            tier.daemon_mut(victim).kill().await.unwrap();
            sleep(Duration::from_millis(300)).await;
            tier.restart(victim).await.unwrap();
        };
        tokio::join!(changes, faults);
    }
    let expected: Vec<_> = (1..=30).map(|n| format!("change-{n}")).collect();
    assert_eq!(operator.accepted(addresses[0]).await.unwrap(), expected);
    assert!(watch.stop().await > 0);

    tier.daemon_mut(1).kill().await.unwrap();
    tier.daemon_mut(2).kill().await.unwrap();
    let minority = (0..3).map(|n| {
        let operator = &operator;
        let address = addresses[0];
        async move {
            let id = format!("lonely-{n}");
            let text = numbered_config(500 + n);
            operator.submit(address, 30, &id, &text).await
        }
    });
    let outcomes = join_all(minority).await;
    let refused = |outcome: &SubmitOutcome| {
        matches!(outcome, SubmitOutcome::NotRun | SubmitOutcome::Undecided)
    };
    assert!(outcomes.iter().all(refused), "{outcomes:?}");
    tier.restart(1).await.unwrap();
    tier.restart(2).await.unwrap();
    let first = operator.accepted(addresses[1]).await.unwrap();
    let base = u64::try_from(first.len()).unwrap();
    submit_up_to(&operator, &addresses, base, base + 3).await;
    let accepted = operator.accepted(addresses[1]).await.unwrap();
    assert_eq!(accepted[..30], expected);
    for (n, outcome) in outcomes.iter().enumerate() {
        let made = accepted.contains(&format!("lonely-{n}"));
        assert!(
            *outcome != SubmitOutcome::NotRun || !made,
            "lonely-{n} was made"
        );
    }
    tier.stop().await.unwrap();
}
