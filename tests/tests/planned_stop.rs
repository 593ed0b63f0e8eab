//! Planned stops of real daemons while targets are silent.

use std::time::Duration;

use fulmarweir_bench::{HttpCall, HttpClient, HttpReply, ServiceTime, StandInBehaviour, Tier};
use fulmarweir_tests::{SERVICE, single_centre_settings, start_targets};
use http::{Method, StatusCode};
use tokio::time::sleep;

/// Longer than the daemon takes to stop.
const SILENCE_MS: f64 = 60_000.0;
/// Longest time until a daemon has stopped, by the defaults of its settings.
const STOP_MAX: Duration = Duration::from_millis(10_500);
/// Moments after the signal at which requests are sent. Connections are accepted for 0.5 s.
const SENT_AFTER_MS: [u64; 4] = [0, 200, 450, 480];

/// Sends requests to a daemon that is asked to stop, whose targets never answer, and checks that each one
/// is answered as possibly run.
async fn requests_in_flight_are_answered(kind: &str) {
    let mut tier = Tier::start(&single_centre_settings(3)).await.unwrap();
    let text = format!("[service {SERVICE}]\nkind = {kind}\ndeadline-ms = 30000\nslots = 20\n");
    tier.submit_config(&text, 0).await.unwrap();
    let targets = start_targets(&tier, 42, 1, 2).await;
    let address = tier.daemons()[0].callers();
    let send = |key: String| {
        let path = format!("/v1/{kind}/{SERVICE}?key={key}");
        let mut call = HttpCall::new(Method::POST, address, &path, "{}")
            .header("fulmarweir-deadline-ms", "30000");
        call.timeout = STOP_MAX;
        tokio::spawn(async move { HttpClient::default().send(call).await })
    };
    for number in 0..200 {
        let reply: HttpReply = send(format!("warm-{number}")).await.unwrap().unwrap();
        if reply.status == StatusCode::OK {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    for target in &targets {
        target.set_behaviour(StandInBehaviour {
            service_time: ServiceTime::Constant { millis: SILENCE_MS },
            ..StandInBehaviour::default()
        });
    }
    let mut calls = vec![send("before".to_owned())];
    sleep(Duration::from_millis(50)).await;
    tier.daemons()[0].request_shutdown().unwrap();
    let mut waited_ms = 0;
    for after_ms in SENT_AFTER_MS {
        sleep(Duration::from_millis(after_ms - waited_ms)).await;
        waited_ms = after_ms;
        calls.push(send(format!("after-{after_ms}")));
    }
    for call in calls {
        let answered = tokio::time::timeout(STOP_MAX, call).await;
        let reply = answered.expect("an answer in time").unwrap().unwrap();
        let verdict = reply.header("fulmarweir-run");
        assert_eq!(
            reply.status,
            StatusCode::GATEWAY_TIMEOUT,
            "{}",
            reply.text()
        );
        assert_eq!(verdict, Some("may-have-run"));
    }
    let _ = tier.daemon_mut(0).terminate().await;
    tier.stop().await.unwrap();
}

/// Guards against acts that end with the process, without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn acts_in_flight_at_the_end_of_a_planned_stop_are_answered() {
    requests_in_flight_are_answered("act").await;
}

/// Guards against searches that end with the process, without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn searches_in_flight_at_the_end_of_a_planned_stop_are_answered() {
    requests_in_flight_are_answered("search").await;
}
