//! Tests of stand-in targets: limits, cancellation, faults, versions and the answer check.

use std::{collections::BTreeSet, time::Duration};

use fulmarweir_base::{ShardHolding, TargetState};
use fulmarweir_bench::{
    AnswerCheck, AnswerCoverage, AnswerFault, BenchError, FaultShare, HitList, HttpCall,
    HttpClient, HttpReply, ReplyFault, SearchAnswer, ServiceTime, StandIn, StandInBehaviour,
    StandInSettings, shard_hits,
};
use futures::future::join_all;
use http::{Method, StatusCode};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const HOLDING: ShardHolding = ShardHolding {
    version: 42,
    shard: 0,
    of: 3,
};

fn settings() -> StandInSettings {
    let service = "street-app/pitches".parse().unwrap();
    StandInSettings::new("pitches-1".parse().unwrap(), service, HOLDING)
}

fn with_fault(fault: ReplyFault) -> StandInSettings {
    let mut settings = settings();
    settings.behaviour.faults = vec![FaultShare { fault, share: 1.0 }];
    settings
}

fn with_service_ms(millis: f64) -> StandInSettings {
    let mut settings = settings();
    settings.behaviour.service_time = ServiceTime::Constant { millis };
    settings
}

fn query(target: &StandIn, attempt: &str, kind: &str, version: u64) -> HttpCall {
    HttpCall::new(Method::POST, target.address(), "/query", "q")
        .header("fulmarweir-request", "r-1")
        .header("fulmarweir-attempt", attempt)
        .header("fulmarweir-service", "street-app/pitches")
        .header("fulmarweir-version", &version.to_string())
        .header("fulmarweir-shard", "0/3")
        .header("fulmarweir-deadline-ms", "2000")
        .header("fulmarweir-kind", kind)
        .header("fulmarweir-key", "k")
}

fn not_run(reply: &HttpReply) -> bool {
    reply.header("fulmarweir-not-run") == Some("true")
}

#[tokio::test]
async fn a_search_is_answered_with_its_echo() {
    let target = StandIn::start(settings()).await.unwrap();
    let reply = HttpClient::new()
        .send(query(&target, "a-1", "search", 42))
        .await
        .unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.header("fulmarweir-attempt"), Some("a-1"));
    assert_eq!(reply.header("fulmarweir-version"), Some("42"));
    assert_eq!(reply.header("fulmarweir-shard"), Some("0/3"));
    assert!(reply.header("fulmarweir-load").is_some());
    let hits: HitList = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(hits, shard_hits(HOLDING, 5, "q"));
    let counters = target.stop().await;
    assert_eq!((counters.requests, counters.runs), (1, 1));
}

#[tokio::test]
async fn a_full_queue_sheds_as_not_run() {
    let mut settings = with_service_ms(50.0);
    settings.slots = 1;
    settings.queue = 1;
    let target = StandIn::start(settings).await.unwrap();
    let client = HttpClient::new();
    let names: Vec<String> = (0..6).map(|n| format!("a-{n}")).collect();
    let calls = names
        .iter()
        .map(|name| client.send(query(&target, name, "search", 42)));
    let replies = join_all(calls).await;
    let replies: Vec<HttpReply> = replies.into_iter().map(Result::unwrap).collect();
    let shed = replies.iter().filter(|reply| not_run(reply)).count() as u64;
    let counters = target.stop().await;
    assert_eq!(counters.shed, shed);
    assert_eq!(counters.runs + shed, 6);
    assert!(shed > 0);
    assert_eq!(counters.running_max, 1);
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let mut settings = with_service_ms(50.0);
    settings.connections = 2;
    let target = StandIn::start(settings).await.unwrap();
    let names: Vec<String> = (0..5).map(|n| format!("a-{n}")).collect();
    let calls = names.iter().map(|name| {
        let call = query(&target, name, "search", 42);
        async move { HttpClient::new().send(call).await }
    });
    let refused = join_all(calls).await.iter().filter(|r| r.is_err()).count() as u64;
    let counters = target.stop().await;
    assert_eq!(counters.connections_max, 2);
    assert_eq!(counters.connections_refused, refused);
    assert_eq!(refused, 3);
}

#[tokio::test]
async fn a_cancelled_attempt_never_runs() {
    let target = StandIn::start(settings()).await.unwrap();
    let client = HttpClient::new();
    let body = r#"{"attempt":"a-1"}"#;
    let cancel = HttpCall::new(Method::POST, target.address(), "/cancel", body);
    let verdict = client.send(cancel.clone()).await.unwrap();
    assert_eq!(verdict.text(), r#"{"ran":false}"#);
    let reply = client.send(query(&target, "a-1", "act", 42)).await.unwrap();
    assert!(not_run(&reply));
    assert!(target.runs().is_empty());
    client.send(query(&target, "a-2", "act", 42)).await.unwrap();
    let late = HttpCall {
        body: r#"{"attempt":"a-2"}"#.into(),
        ..cancel
    };
    assert_eq!(client.send(late).await.unwrap().text(), r#"{"ran":true}"#);
    assert_eq!(target.runs()[0].runs, 1);
    assert_eq!(target.stop().await.cancels_in_time, 1);
}

/// The caller leaves once the target has begun to run the act.
#[tokio::test]
async fn an_act_runs_on_when_its_caller_leaves() {
    let target = StandIn::start(with_service_ms(1_000.0)).await.unwrap();
    let call = query(&target, "a-1", "act", 42);
    let sending = tokio::spawn(async move { HttpClient::new().send(call).await });
    wait_until(|| target.counters().runs == 1).await;
    sending.abort();
    assert!(sending.await.unwrap_err().is_cancelled());
    wait_until(|| target.counters().finished == 1).await;
    assert_eq!(target.runs()[0].runs, 1);
    target.stop().await;
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), poll).await;
    waited.expect("the condition holds in time");
}

#[tokio::test]
async fn versions_are_added_and_dropped() {
    let target = StandIn::start(settings()).await.unwrap();
    let client = HttpClient::new();
    let early = client.send(query(&target, "a-1", "search", 43)).await;
    assert_eq!(early.unwrap().status, StatusCode::GONE);
    target.add_holding(ShardHolding {
        version: 43,
        ..HOLDING
    });
    target.drop_version(42);
    let old = client
        .send(query(&target, "a-2", "search", 42))
        .await
        .unwrap();
    assert!(not_run(&old));
    assert_eq!(old.status, StatusCode::GONE);
    let new = client.send(query(&target, "a-3", "search", 43)).await;
    assert_eq!(new.unwrap().status, StatusCode::OK);
    target.stop().await;
}

#[tokio::test]
async fn a_stopped_target_is_unreachable() {
    let target = StandIn::start(settings()).await.unwrap();
    let call = query(&target, "a-1", "search", 42);
    target.stop().await;
    let report = HttpClient::new().send(call).await.unwrap_err();
    assert_eq!(*report.current_context(), BenchError::Unreachable);
}

#[tokio::test]
async fn a_draining_target_refuses_new_work() {
    let target = StandIn::start(settings()).await.unwrap();
    target.drain().await;
    let reply = HttpClient::new()
        .send(query(&target, "a-1", "search", 42))
        .await
        .unwrap();
    assert!(not_run(&reply));
    let counters = target.stop().await;
    assert_eq!(counters.while_not_serving, 1);
    assert!(counters.last_after_drain.is_some());
}

#[tokio::test]
async fn a_starting_target_refuses_work() {
    let target = StandIn::start(settings()).await.unwrap();
    target.set_state(TargetState::Starting);
    let reply = HttpClient::new()
        .send(query(&target, "a-1", "search", 42))
        .await
        .unwrap();
    assert!(not_run(&reply));
    assert_eq!(target.stop().await.last_after_drain, None);
}

#[tokio::test]
async fn injected_reply_faults_show() {
    for fault in [ReplyFault::Dies, ReplyFault::Truncated] {
        let target = StandIn::start(with_fault(fault)).await.unwrap();
        let sent = HttpClient::new()
            .send(query(&target, "a-1", "act", 42))
            .await;
        assert!(sent.is_err(), "{fault:?}");
        assert_eq!(target.stop().await.runs, 1, "{fault:?}");
    }
    let crossed = StandIn::start(with_fault(ReplyFault::Crossed))
        .await
        .unwrap();
    let client = HttpClient::new();
    client
        .send(query(&crossed, "a-1", "search", 42))
        .await
        .unwrap();
    let reply = client
        .send(query(&crossed, "a-2", "search", 42))
        .await
        .unwrap();
    assert_eq!(reply.header("fulmarweir-attempt"), Some("a-1"));
    crossed.stop().await;
    let bad = StandIn::start(with_fault(ReplyFault::BadJson))
        .await
        .unwrap();
    let reply = client.send(query(&bad, "a-1", "search", 42)).await.unwrap();
    assert!(serde_json::from_slice::<HitList>(&reply.body).is_err());
    bad.stop().await;
}

#[tokio::test]
async fn a_doubled_reply_is_on_the_wire_twice() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let target = StandIn::start(with_fault(ReplyFault::Doubled))
        .await
        .unwrap();
    let mut stream = tokio::net::TcpStream::connect(target.address())
        .await
        .unwrap();
    let request = "POST /query HTTP/1.1\r\nhost: t\r\nfulmarweir-request: r\r\n\
        fulmarweir-attempt: a-1\r\nfulmarweir-service: s\r\nfulmarweir-version: 42\r\n\
        fulmarweir-shard: 0/3\r\nfulmarweir-deadline-ms: 500\r\nfulmarweir-kind: search\r\n\
        connection: close\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).await.unwrap();
    assert_eq!(received.matches("HTTP/1.1 200").count(), 2);
    target.stop().await;
}

fn full_answer(version: u64, of: u32) -> SearchAnswer {
    let list = |shard| shard_hits(ShardHolding { version, shard, of }, 5, "q").hits;
    let mut hits: Vec<_> = (0..of).flat_map(list).collect();
    hits.sort_by(|a, b| b.score.total_cmp(&a.score));
    let coverage = AnswerCoverage {
        shards: of,
        answered: of,
        missing: Vec::new(),
    };
    SearchAnswer {
        version,
        coverage,
        hits,
    }
}

fn faults(answer: &SearchAnswer) -> BTreeSet<AnswerFault> {
    let check = AnswerCheck {
        sent: "q",
        hits_per_shard: 5,
        coverage_header: Some("3/3"),
        version_header: Some("42"),
    };
    check.faults(answer)
}

#[test]
fn the_answer_check_finds_each_fault() {
    let full = full_answer(42, 3);
    assert!(faults(&full).is_empty());

    let mut mixed = full.clone();
    mixed.hits[0].version = 41;
    assert!(faults(&mixed).contains(&AnswerFault::MixedVersions));

    let mut partitioned = full.clone();
    partitioned.hits[0].of = 4;
    assert!(faults(&partitioned).contains(&AnswerFault::MixedShardCounts));

    let mut crossed = full.clone();
    crossed.hits[3].echo = "other".to_owned();
    assert!(faults(&crossed).contains(&AnswerFault::OtherRequest));

    let mut doubled = full.clone();
    doubled.hits[1] = doubled.hits[0].clone();
    assert!(faults(&doubled).contains(&AnswerFault::RepeatedHit));

    let mut unsorted = full.clone();
    unsorted.hits.reverse();
    assert!(faults(&unsorted).contains(&AnswerFault::Unsorted));

    let mut lost = full.clone();
    lost.hits.retain(|hit| hit.shard != 1);
    assert!(faults(&lost).contains(&AnswerFault::WrongCoverage));

    let mut partial = full.clone();
    partial.hits.pop();
    assert!(faults(&partial).contains(&AnswerFault::PartialShard));

    assert!(faults(&full_answer(43, 3)).contains(&AnswerFault::HeaderDiffers));
}

#[test]
fn draws_repeat_with_their_seed() {
    let time = ServiceTime::Lognormal {
        median_ms: 4.0,
        sigma: 0.5,
    };
    let behaviour = StandInBehaviour {
        faults: vec![FaultShare {
            fault: ReplyFault::Late,
            share: 0.25,
        }],
        ..StandInBehaviour::default()
    };
    let draw = |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let times: Vec<Duration> = (0..50).map(|_| time.sample(&mut rng)).collect();
        let faults: Vec<_> = (0..400).map(|_| behaviour.draw_fault(&mut rng)).collect();
        (times, faults)
    };
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    let late = draw(7).1.iter().flatten().count();
    assert!((60..140).contains(&late), "{late}");
}
