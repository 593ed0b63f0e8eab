//! Tests of the evacuation register: orders are idempotent, the version rises with each change of the
//! set, and no acknowledged order is lost.

mod sim;

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use fulmarweir_base::RunVerdict;
use fulmarweir_quorum::{Acceptor, EvacuationOrder, EvacuationSet, QuorumClient};
use sim::{LOSSY, RELIABLE, SimNet, for_seeds};
use tokio::task::LocalSet;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const RECOVERY_TIMEOUT: Duration = Duration::from_mins(1);
const RETENTION: Duration = Duration::from_hours(1);
const VMS: u16 = 6;
const VOTERS: u16 = 3;
const STEPS: u64 = 30;

fn centre(name: &str) -> Arc<str> {
    name.into()
}

async fn begin(client: &QuorumClient, name: &str) -> EvacuationSet {
    let name = centre(name);
    let order = client.order_evacuation(EvacuationOrder::Begin, &name, CALL_TIMEOUT);
    order.await.unwrap()
}

async fn end(client: &QuorumClient, name: &str) -> EvacuationSet {
    let name = centre(name);
    let order = client.order_evacuation(EvacuationOrder::End, &name, CALL_TIMEOUT);
    order.await.unwrap()
}

fn names(set: &EvacuationSet) -> Vec<&str> {
    set.centres.iter().map(|centre| &**centre).collect()
}

#[test]
fn a_repeated_order_keeps_the_version() {
    for_seeds(2, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let (first, second) = (net.client(1), net.client(2));
        assert_eq!(end(&first, "east").await, EvacuationSet::default());
        assert_eq!(begin(&first, "east").await.version, 1);
        let repeated = begin(&second, "east").await;
        assert_eq!((repeated.version, names(&repeated)), (1, vec!["east"]));
        let both = begin(&second, "west").await;
        assert_eq!((both.version, names(&both)), (2, vec!["east", "west"]));
        let ended = end(&first, "east").await;
        assert_eq!((ended.version, names(&ended)), (3, vec!["west"]));
        assert_eq!(end(&second, "east").await, ended);
        assert_eq!(second.read_evacuations(CALL_TIMEOUT).await.unwrap(), ended);
    });
}

/// Guards against a read that writes a record which older builds cannot decode, in a tier without
/// any order.
#[test]
fn a_read_without_any_order_leaves_no_register_behind() {
    for_seeds(2, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let client = net.client(1);
        client.read_config(CALL_TIMEOUT).await.unwrap();
        let registers: Vec<usize> = (0..3)
            .map(|number| net.with_acceptor(number, Acceptor::register_count))
            .collect();
        let read = client.read_evacuations(CALL_TIMEOUT).await.unwrap();
        assert_eq!(read, EvacuationSet::default());
        net.crash(0);
        net.crash(1);
        assert!(client.read_evacuations(CALL_TIMEOUT).await.is_err());
        net.restart(0);
        net.restart(1);
        for (number, before) in (0..3).zip(registers) {
            let after = net.with_acceptor(number, Acceptor::register_count);
            assert_eq!(after, before);
        }
    });
}

#[test]
fn concurrent_orders_for_different_data_centres_are_all_kept() {
    for_seeds(4, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let clients: Vec<_> = (1..=4).map(|number| net.client(number)).collect();
        let orders = clients.iter().zip(["a", "b", "c", "d"]);
        let orders = orders.map(|(client, name)| begin(client, name));
        futures::future::join_all(orders).await;
        let set = clients[0].read_evacuations(CALL_TIMEOUT).await.unwrap();
        assert_eq!((set.version, names(&set)), (4, vec!["a", "b", "c", "d"]));
    });
}

#[test]
fn a_change_of_voters_carries_the_register_along() {
    for_seeds(4, |seed| async move {
        let net = SimNet::new(seed, 6, 3, RETENTION);
        let client = net.client(1);
        let set = begin(&client, "east").await;
        let members = (3..6).map(|number| net.member(number)).collect();
        client.change_voters(members, CALL_TIMEOUT).await.unwrap();
        for number in 0..3 {
            net.crash(number);
        }
        let late = net.client(2);
        late.learn_voters(&client.voters());
        assert_eq!(late.read_evacuations(CALL_TIMEOUT).await.unwrap(), set);
        assert_eq!(begin(&late, "west").await.version, 2);
    });
}

#[test]
fn an_order_survives_lost_power_right_after_its_acknowledgement() {
    for_seeds(12, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        for round in 1..=3_u64 {
            let other = {
                let client = net.client(10 + round);
                // Its outcome stays unknown.
                let order = async move {
                    let order = EvacuationOrder::Begin;
                    let _ = client
                        .order_evacuation(order, &centre("other"), CALL_TIMEOUT)
                        .await;
                };
                tokio::spawn(order)
            };
            let name = format!("zone-{round}");
            let acknowledged = begin(&net.client(round), &name).await;
            for number in 0..3 {
                net.crash(number);
            }
            other.abort();
            for number in 0..3 {
                net.restart(number);
            }
            let reader = net.client(20 + round);
            let read = reader.read_evacuations(CALL_TIMEOUT).await.unwrap();
            assert!(read.version >= acknowledged.version);
            assert!(read.centres.contains(&*name), "{read:?}");
        }
    });
}

/// Guards against a read that returns an order which a later read does not return: an order at a minority is
/// decided by the read that finds it.
#[test]
fn an_order_at_a_minority_is_decided_by_the_read_that_returns_it() {
    for_seeds(8, |seed| async move {
        let net = SimNet::new(seed, 3, 3, RETENTION);
        let client = net.client(1);
        begin(&client, "east").await;
        net.crash(0);
        net.crash(1);
        // The promise from the first order lets the accept reach the only voter that is up.
        let west = centre("west");
        let undecided = client.order_evacuation(EvacuationOrder::Begin, &west, CALL_TIMEOUT);
        let verdict = undecided.await.unwrap_err().current_context().verdict();
        assert_eq!(verdict, RunVerdict::MayHaveRun);
        net.restart(0);
        net.restart(1);
        let first = net.client(2).read_evacuations(CALL_TIMEOUT).await.unwrap();
        for number in 3..6 {
            let reader = net.client(number);
            let later = reader.read_evacuations(CALL_TIMEOUT).await.unwrap();
            assert!(later.version >= first.version);
        }
        let repeated = begin(&net.client(6), "west").await;
        assert_eq!(
            (repeated.version, names(&repeated)),
            (2, vec!["east", "west"])
        );
    });
}

/// The sets that calls have reported.
#[derive(Default)]
struct History {
    by_version: BTreeMap<u64, EvacuationSet>,
    known_version: u64,
    finished_orders: u64,
}

impl History {
    fn observe(&mut self, known_before: u64, set: &EvacuationSet) {
        assert!(set.version >= known_before, "an older set was reported");
        let first = self.by_version.entry(set.version);
        let first = first.or_insert_with(|| set.clone());
        assert_eq!(first, set, "version {} has two sets", set.version);
        self.known_version = self.known_version.max(set.version);
        let mut later = self.by_version.range(..=set.version).rev();
        let (_, current) = later.next().unwrap();
        if let Some((before_version, before)) = later.next() {
            let changed = current.centres.symmetric_difference(&before.centres);
            let steps = usize::try_from(set.version - before_version).unwrap();
            let changed = changed.count();
            assert!(changed <= steps && changed % 2 == steps % 2);
        }
    }
}

async fn send_orders(number: u64, net: SimNet, history: Rc<RefCell<History>>) {
    let mut client = net.client(number);
    for _ in 0..STEPS {
        let name = centre(["east", "west", "mid"][usize::try_from(net.random_below(3)).unwrap()]);
        let order = if net.chance(0.5) {
            EvacuationOrder::Begin
        } else {
            EvacuationOrder::End
        };
        // A lost answer is followed by the same order, as an operator would do.
        for _ in 0..3 {
            let known = history.borrow().known_version;
            let ordered = client.order_evacuation(order, &name, CALL_TIMEOUT).await;
            if let Ok(set) = ordered {
                let is_in_set = set.centres.contains(&name);
                assert_eq!(is_in_set, order == EvacuationOrder::Begin);
                history.borrow_mut().observe(known, &set);
                history.borrow_mut().finished_orders += 1;
                break;
            }
        }
        let known = history.borrow().known_version;
        if let Ok(set) = client.read_evacuations(CALL_TIMEOUT).await {
            history.borrow_mut().observe(known, &set);
        }
        if net.chance(0.1) {
            client = net.client(number);
        }
    }
}

async fn inject_faults(net: SimNet, stop: Rc<RefCell<bool>>) {
    while !*stop.borrow() {
        let number = u16::try_from(net.random_below(VMS.into())).unwrap();
        if net.is_up(number) && net.chance(0.4) {
            net.crash(number);
        } else if !net.is_up(number) {
            net.restart(number);
        } else if net.chance(0.2) {
            let members = (number..number + VOTERS)
                .map(|n| net.member(n % VMS))
                .collect();
            let change = net.client(100);
            let _ = change.change_voters(members, CALL_TIMEOUT).await;
        }
        let pause = net.random_below(200);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

#[test]
fn reported_sets_hold_while_voters_crash_and_change_and_answers_are_lost() {
    for_seeds(6, |seed| async move {
        let net = SimNet::new(seed, VMS, VOTERS, RETENTION);
        net.client(0).read_config(RECOVERY_TIMEOUT).await.unwrap();
        net.lock().faults = LOSSY;
        let history = Rc::new(RefCell::new(History::default()));
        let stop = Rc::new(RefCell::new(false));
        LocalSet::new()
            .run_until(async {
                let faults = inject_faults(net.clone(), Rc::clone(&stop));
                let faults = tokio::task::spawn_local(faults);
                let operators: Vec<_> = (1..=3)
                    .map(|number| send_orders(number, net.clone(), Rc::clone(&history)))
                    .map(tokio::task::spawn_local)
                    .collect();
                for operator in operators {
                    operator.await.unwrap();
                }
                *stop.borrow_mut() = true;
                faults.await.unwrap();
            })
            .await;
        net.lock().faults = RELIABLE;
        for number in 0..VMS {
            if !net.is_up(number) {
                net.restart(number);
            }
        }
        let client = net.client(200);
        let known = history.borrow().known_version;
        let set = client.read_evacuations(RECOVERY_TIMEOUT).await.unwrap();
        history.borrow_mut().observe(known, &set);
        assert!(history.borrow().finished_orders > 0, "no order finished");
    });
}
