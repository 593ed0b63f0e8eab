//! Corrupted replies of targets must not be accepted as an answer without the attempt's echo, nor
//! give the verdict not-run to a request that the target has read.

use std::time::Duration;

use arbtest::{arbitrary::Unstructured, arbtest};
use bytes::Bytes;
use fulmarweir_base::{RunVerdict, TimerService};
use fulmarweir_pool::{
    ConnectionPool, ReportedLoad, RequestKind, TargetAnswer, TargetError, TargetRequest,
    TargetShare,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime::Runtime,
};
use tokio_util::task::TaskTracker;

const SEEDS: std::ops::Range<u64> = 0..120;
/// Size of the random input, which arbtest reads from the low 32 bits of a seed.
const INPUT_MAX_BYTES: u64 = 400;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const ATTEMPT_ID: &str = "a-7";

const VALID_REPLY: &str = "HTTP/1.1 200 OK\r\nfulmarweir-attempt: a-7\r\nfulmarweir-version: 42\r\n\
fulmarweir-shard: 0/3\r\nfulmarweir-load: 1/3/2\r\ncontent-length: 11\r\n\r\n{\"hits\":[]}";

/// Fragments that have a meaning in HTTP replies.
const FRAGMENTS: [&str; 16] = [
    "\r\n",
    "\n",
    "\0",
    ":",
    " ",
    "HTTP/1.1 ",
    "204",
    "503",
    "100",
    "content-length: 0\r\n",
    "content-length: 99999999999\r\n",
    "transfer-encoding: chunked\r\n",
    "FFFFFFFF\r\n",
    "a-8",
    "fulmarweir-attempt: a-8\r\n",
    "\u{e9}",
];

/// Checks a property with fixed seeds, so that every run gives the same result.
fn check_property(property: impl Fn(&mut Unstructured<'_>) -> arbtest::arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(&property).seed(seed << 32 | INPUT_MAX_BYTES).run();
    }
}

fn corrupted_reply(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Vec<u8>> {
    let mut reply = VALID_REPLY.as_bytes().to_vec();
    for _ in 0..u.int_in_range(0..=2)? {
        let start = u.choose_index(reply.len())?;
        let end = (start + u.int_in_range(0..=6_usize)?).min(reply.len());
        let fragment = u.choose(&FRAGMENTS)?;
        reply.splice(start..end, fragment.bytes());
    }
    Ok(reply)
}

fn request_without_deadline() -> TargetRequest {
    TargetRequest {
        service: "street-app/pitches".parse().unwrap(),
        kind: RequestKind::Act,
        request: "r-1".into(),
        attempt: ATTEMPT_ID.into(),
        version: 42,
        shard: 0,
        of: 3,
        deadline: fulmarweir_base::MonoTime::ZERO,
        key: None,
        body: Bytes::from_static(b"{}"),
    }
}

/// Sends one request to a target that reads it, writes `reply` and closes the connection.
async fn send_to_target(reply: Vec<u8>) -> Result<TargetAnswer, TargetError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n{}") {
            stream.read_buf(&mut request).await.unwrap();
        }
        let _ = stream.write_all(&reply).await;
    });
    let timer = TimerService::new();
    let tasks = TaskTracker::new();
    let share = TargetShare {
        connections: 1,
        concurrency: 1,
    };
    let pool = ConnectionPool::new(address, share, timer.clone(), tasks);
    let request = TargetRequest {
        deadline: timer.now() + CALL_TIMEOUT,
        ..request_without_deadline()
    };
    let result = pool.send(request).await;
    target.await.unwrap();
    result
}

#[test]
fn corrupted_replies_are_answers_only_with_their_echo() {
    let runtime = Runtime::new().unwrap();
    check_property(|u| {
        let reply = corrupted_reply(u)?;
        let text = String::from_utf8_lossy(&reply).into_owned();
        match runtime.block_on(send_to_target(reply)) {
            Ok(_) => assert!(text.contains("fulmarweir-attempt: a-7"), "{text}"),
            Err(error) => assert_eq!(error.verdict, RunVerdict::MayHaveRun, "{error} {text}"),
        }
        Ok(())
    });
}

#[test]
fn the_valid_reply_is_an_answer() {
    let runtime = Runtime::new().unwrap();
    let answer = runtime
        .block_on(send_to_target(VALID_REPLY.into()))
        .unwrap();
    assert_eq!(answer.body, "{\"hits\":[]}");
    assert_eq!(answer.load, ReportedLoad::parse("1/3/2"));
}

#[test]
fn arbitrary_load_reports_are_three_numbers_or_nothing() {
    check_property(|u| {
        let text: String = u.arbitrary()?;
        if ReportedLoad::parse(&text).is_some() {
            assert_eq!(text.split('/').count(), 3, "{text}");
        }
        Ok(())
    });
    for text in ["", "1/2", "1/2/3/4", "-1/2/3", "1/2/4294967296", "1/2/x"] {
        assert_eq!(ReportedLoad::parse(text), None, "{text}");
    }
}
