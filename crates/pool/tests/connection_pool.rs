//! Tests connection pools against scripted targets with late, misrouted, duplicate, truncated and
//! refused replies.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_base::{RunVerdict, TimerService};
use fulmarweir_pool::{
    ConnectionPool, ReportedLoad, RequestKind, TargetFault, TargetRequest, TargetShare,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
};
use tokio_util::task::TaskTracker;

/// How the end of a reply is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
    /// The body ends with the connection.
    Close,
}

/// What a scripted target does with one request.
#[derive(Clone, Debug)]
enum Script {
    Answer,
    AnswerAfterMs(u64),
    EchoOtherAttempt,
    AnswerTwice,
    Truncate,
    /// Sends this many bytes of a reply that is framed so, and closes the connection.
    Cut(Framing, usize),
    CloseWithoutReply,
    /// Replies with a status, and states that the request has not run if the flag is set.
    Status(u16, bool),
    /// Sends a refusal first, as the late copy of an earlier one, and then answers.
    RefusalThenAnswer,
}

#[derive(Default)]
struct TargetCounters {
    queries: AtomicUsize,
    cancels: AtomicUsize,
    /// Cancellations on connections that had carried another request.
    reused_for_cancel: AtomicUsize,
    open: AtomicUsize,
    open_max: AtomicUsize,
    running: AtomicUsize,
    running_max: AtomicUsize,
}

struct ScriptedTarget {
    address: SocketAddr,
    counters: Arc<TargetCounters>,
}

/// Starts a target that runs one script per request, in order, and answers all later requests.
async fn start_target(scripts: Vec<Script>, cancel_reply: &'static str) -> ScriptedTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counters = Arc::new(TargetCounters::default());
    let scripts = Arc::new(Mutex::new(scripts.into_iter()));
    let shared = Arc::clone(&counters);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let scripts = Arc::clone(&scripts);
            let counters = Arc::clone(&shared);
            let open = counters.open.fetch_add(1, SeqCst) + 1;
            counters.open_max.fetch_max(open, SeqCst);
            tokio::spawn(async move {
                let next_script = || scripts.lock().unwrap().next().unwrap_or(Script::Answer);
                let _ = serve(stream, &counters, &next_script, cancel_reply).await;
                counters.open.fetch_sub(1, SeqCst);
            });
        }
    });
    ScriptedTarget { address, counters }
}

struct RequestHead {
    path: String,
    attempt: String,
    shard: String,
    version: String,
}

async fn read_request(reader: &mut BufReader<TcpStream>) -> Option<RequestHead> {
    let mut line = String::new();
    if reader.read_line(&mut line).await.ok()? == 0 {
        return None;
    }
    let path = line.split(' ').nth(1)?.to_owned();
    let mut head = RequestHead {
        path,
        attempt: String::new(),
        shard: String::new(),
        version: String::new(),
    };
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await.ok()?;
        let Some((name, value)) = line.trim().split_once(": ") else {
            break;
        };
        match name {
            "fulmarweir-attempt" => value.clone_into(&mut head.attempt),
            "fulmarweir-shard" => value.clone_into(&mut head.shard),
            "fulmarweir-version" => value.clone_into(&mut head.version),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// Headers of a refusal.
const NOT_RUN: &str = "fulmarweir-not-run: true\r\nretry-after: 2\r\n";

fn reply(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn answer(head: &RequestHead, attempt: &str) -> String {
    let headers = format!(
        "fulmarweir-attempt: {attempt}\r\nfulmarweir-version: {}\r\nfulmarweir-shard: {}\r\nfulmarweir-load: 1/3/2\r\n",
        head.version, head.shard
    );
    reply(200, &headers, &format!("{{\"for\":\"{}\"}}", head.attempt))
}

/// Returns the answer to a request with its body framed so.
fn framed_answer(head: &RequestHead, framing: Framing) -> String {
    let complete = answer(head, &head.attempt);
    let (fields, body) = complete.split_once("\r\n\r\n").unwrap();
    let (fields, _) = fields.rsplit_once("\r\n").unwrap();
    match framing {
        Framing::Length => complete,
        Framing::Chunks => {
            let (first, second) = body.split_at(4);
            let second_len = second.len();
            format!(
                "{fields}\r\ntransfer-encoding: chunked\r\n\r\n\
                 4\r\n{first}\r\n{second_len:x}\r\n{second}\r\n0\r\n\r\n"
            )
        }
        Framing::Close => format!("{fields}\r\nconnection: close\r\n\r\n{body}"),
    }
}

async fn serve(
    stream: TcpStream,
    counters: &TargetCounters,
    next_script: &(dyn Fn() -> Script + Sync),
    cancel_reply: &str,
) -> Option<()> {
    let mut reader = BufReader::new(stream);
    let mut carried = 0;
    while let Some(head) = read_request(&mut reader).await {
        carried += 1;
        if head.path == "/cancel" {
            counters.cancels.fetch_add(1, SeqCst);
            counters
                .reused_for_cancel
                .fetch_add(usize::from(carried > 1), SeqCst);
            let text = reply(200, "", cancel_reply);
            reader.get_mut().write_all(text.as_bytes()).await.ok()?;
            continue;
        }
        counters.queries.fetch_add(1, SeqCst);
        let running = counters.running.fetch_add(1, SeqCst) + 1;
        counters.running_max.fetch_max(running, SeqCst);
        let text = run_script(&next_script(), &head).await;
        counters.running.fetch_sub(1, SeqCst);
        let (text, keeps_open) = text?;
        reader.get_mut().write_all(text.as_bytes()).await.ok()?;
        if !keeps_open {
            return None;
        }
    }
    Some(())
}

/// Returns the reply and whether the connection stays open; `None` closes it without a reply.
async fn run_script(script: &Script, head: &RequestHead) -> Option<(String, bool)> {
    let complete_reply = answer(head, &head.attempt);
    match script {
        Script::Answer => Some((complete_reply, true)),
        Script::AnswerAfterMs(delay) => {
            sleep(Duration::from_millis(*delay)).await;
            Some((complete_reply, true))
        }
        Script::EchoOtherAttempt => Some((answer(head, "other"), true)),
        Script::AnswerTwice => Some((complete_reply.clone() + &complete_reply, true)),
        Script::Truncate => Some((complete_reply[..complete_reply.len() - 3].to_owned(), false)),
        Script::Cut(framing, sent) => {
            let framed = framed_answer(head, *framing);
            Some((framed[..*sent].to_owned(), false))
        }
        Script::CloseWithoutReply => None,
        Script::Status(status, not_run) => {
            let headers = if *not_run { NOT_RUN } else { "" };
            Some((reply(*status, headers, "{}"), true))
        }
        Script::RefusalThenAnswer => Some((reply(503, NOT_RUN, "{}") + &complete_reply, false)),
    }
}

struct TestClient {
    timer: TimerService,
    pool: ConnectionPool,
    next_attempt: AtomicUsize,
}

impl TestClient {
    fn new(address: SocketAddr, connections: u32, concurrency: u32) -> Self {
        let timer = TimerService::new();
        let share = TargetShare {
            connections,
            concurrency,
        };
        let pool = ConnectionPool::new(address, share, timer.clone(), TaskTracker::new());
        Self {
            timer,
            pool,
            next_attempt: AtomicUsize::new(0),
        }
    }

    fn request(&self, kind: RequestKind, time_limit_ms: u64) -> TargetRequest {
        let number = self.next_attempt.fetch_add(1, SeqCst);
        TargetRequest {
            service: "s".parse().unwrap(),
            kind,
            request: "r".into(),
            attempt: format!("r-{number:03}").into(),
            version: 42,
            shard: 0,
            of: 3,
            deadline: self.timer.now() + Duration::from_millis(time_limit_ms),
            key: Some("k".into()),
            body: Bytes::from_static(b"{}"),
        }
    }

    async fn search(&self, time_limit_ms: u64) -> Result<String, TargetFault> {
        let request = self.request(RequestKind::Search, time_limit_ms);
        let attempt = request.attempt.to_string();
        match self.pool.send(request).await {
            Ok(answer) => {
                let text = String::from_utf8(answer.body.to_vec()).unwrap();
                assert!(text.contains(&format!("\"{attempt}\"")), "{text}");
                Ok(text)
            }
            Err(error) => Err(error.fault),
        }
    }
}

const TIME_LIMIT_MS: u64 = 5000;

#[tokio::test]
async fn an_answer_carries_the_reported_load() {
    let target = start_target(vec![], "{}").await;
    let client = TestClient::new(target.address, 4, 2);
    let request = client.request(RequestKind::Search, TIME_LIMIT_MS);
    let answer = client.pool.send(request).await.unwrap();
    let load = ReportedLoad {
        in_flight: 1,
        slots: 3,
        queued: 2,
    };
    assert_eq!(answer.load, Some(load));
}

#[tokio::test]
async fn a_reply_to_another_attempt_is_rejected_and_its_connection_closed() {
    let target = start_target(vec![Script::EchoOtherAttempt], "{}").await;
    let client = TestClient::new(target.address, 2, 1);
    assert_eq!(
        client.search(TIME_LIMIT_MS).await,
        Err(TargetFault::BadEcho)
    );
    assert!(client.search(TIME_LIMIT_MS).await.is_ok());
}

#[tokio::test]
async fn the_second_of_two_replies_answers_no_attempt() {
    let target = start_target(vec![Script::AnswerTwice, Script::AnswerTwice], "{}").await;
    let client = TestClient::new(target.address, 3, 1);
    for _ in 0..20 {
        // `search` checks that an answer belongs to its own attempt. The attempt itself may fail.
        let _ = client.search(TIME_LIMIT_MS).await;
    }
    assert!(client.search(TIME_LIMIT_MS).await.is_ok());
}

#[tokio::test]
async fn an_attempt_without_a_complete_reply_may_have_run() {
    let target = start_target(vec![Script::Truncate, Script::CloseWithoutReply], "{}").await;
    let client = TestClient::new(target.address, 2, 1);
    for _ in 0..2 {
        let request = client.request(RequestKind::Act, TIME_LIMIT_MS);
        let error = client.pool.send(request).await.unwrap_err();
        assert_eq!(error.fault, TargetFault::Broken);
        assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    }
}

/// Cuts an answer at each byte; checks that none of the cut ones is taken for an answer.
async fn cut_at_each_byte(framing: Framing, kind: RequestKind) {
    let model = RequestHead {
        path: "/query".into(),
        attempt: "r-000".into(),
        shard: "0/3".into(),
        version: "42".into(),
    };
    let cuts = framed_answer(&model, framing).len();
    let scripts = (0..=cuts).map(|sent| Script::Cut(framing, sent)).collect();
    let target = start_target(scripts, "{}").await;
    let client = TestClient::new(target.address, 2, 1);
    for sent in 0..cuts {
        let error = client.pool.send(client.request(kind, TIME_LIMIT_MS)).await;
        let error = error.expect_err(&format!("{framing:?} {kind:?} {sent}"));
        assert_eq!(error.fault, TargetFault::Broken, "{framing:?} {sent}");
        assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    }
    let answer = client.pool.send(client.request(kind, TIME_LIMIT_MS)).await;
    // A body without a length could have broken off, so none is accepted.
    let is_accepted = framing != Framing::Close;
    assert_eq!(answer.is_ok(), is_accepted, "{framing:?} {kind:?}");
}

/// Guards against an answer that ends in its head or body and is taken for a whole one.
#[tokio::test]
async fn an_answer_that_breaks_off_at_any_byte_is_none() {
    let mut tasks = JoinSet::new();
    for framing in [Framing::Length, Framing::Chunks, Framing::Close] {
        for kind in [RequestKind::Search, RequestKind::Act] {
            tasks.spawn(cut_at_each_byte(framing, kind));
        }
    }
    while let Some(ended) = tasks.join_next().await {
        ended.unwrap();
    }
}

#[tokio::test]
async fn a_refusal_is_not_run_only_if_the_target_states_it() {
    let scripts = vec![
        Script::Status(503, true),
        Script::Status(503, false),
        Script::Status(410, true),
        Script::Status(500, true),
    ];
    let target = start_target(scripts, "{}").await;
    let client = TestClient::new(target.address, 4, 1);
    let expected = [
        (TargetFault::Shed, RunVerdict::NotRun),
        (TargetFault::BadStatus, RunVerdict::MayHaveRun),
        (TargetFault::VersionGone, RunVerdict::NotRun),
        (TargetFault::BadStatus, RunVerdict::MayHaveRun),
    ];
    for (fault, verdict) in expected {
        let request = client.request(RequestKind::Act, TIME_LIMIT_MS);
        let error = client.pool.send(request).await.unwrap_err();
        assert_eq!((error.fault, error.verdict), (fault, verdict));
    }
}

#[tokio::test]
async fn an_act_past_its_deadline_is_not_run_only_if_the_target_confirms_it() {
    for (cancel_reply, verdict) in [
        ("{\"ran\":false}", RunVerdict::NotRun),
        ("{\"ran\":true}", RunVerdict::MayHaveRun),
        ("garbage", RunVerdict::MayHaveRun),
    ] {
        let target = start_target(vec![Script::AnswerAfterMs(2000)], cancel_reply).await;
        let client = TestClient::new(target.address, 3, 1);
        let request = client.request(RequestKind::Act, 50);
        let error = client.pool.send(request).await.unwrap_err();
        assert_eq!(error.fault, TargetFault::Timeout);
        assert_eq!(error.verdict, verdict, "{cancel_reply}");
        assert_eq!(target.counters.cancels.load(SeqCst), 1);
    }
}

#[tokio::test]
async fn dropping_a_call_cancels_its_attempt() {
    let target = start_target(vec![Script::AnswerAfterMs(2000)], "{\"ran\":false}").await;
    let client = TestClient::new(target.address, 3, 1);
    let request = client.request(RequestKind::Search, TIME_LIMIT_MS);
    let pool = client.pool.clone();
    let task = tokio::spawn(async move { pool.send(request).await });
    while target.counters.queries.load(SeqCst) == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    task.abort();
    while target.counters.cancels.load(SeqCst) == 0 {
        sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn limits_hold_while_attempts_are_abandoned() {
    let scripts = (0..60).map(|n| Script::AnswerAfterMs(if n % 5 == 0 { 80 } else { 3 }));
    let target = start_target(scripts.collect(), "{\"ran\":true}").await;
    let client = TestClient::new(target.address, 5, 3);
    let searches = (0..60).map(|_| client.search(60));
    futures::future::join_all(searches).await;
    assert!(target.counters.running_max.load(SeqCst) <= 3);
    assert!(target.counters.open_max.load(SeqCst) <= 5);
}

#[tokio::test]
async fn waiting_attempts_get_slots_in_the_order_of_their_deadlines() {
    let target = start_target(vec![Script::AnswerAfterMs(100)], "{}").await;
    let client = Arc::new(TestClient::new(target.address, 2, 1));
    let running = Arc::clone(&client);
    let first = tokio::spawn(async move { running.search(TIME_LIMIT_MS).await });
    while target.counters.queries.load(SeqCst) == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut waits = Vec::new();
    for time_limit_ms in [4000, 2000, 3000] {
        let request = client.request(RequestKind::Search, time_limit_ms);
        let pool = client.pool.clone();
        let order = Arc::clone(&order);
        waits.push(tokio::spawn(async move {
            pool.send(request).await.unwrap();
            order.lock().unwrap().push(time_limit_ms);
        }));
        sleep(Duration::from_millis(5)).await;
    }
    assert!(first.await.unwrap().is_ok());
    for wait in waits {
        wait.await.unwrap();
    }
    assert_eq!(*order.lock().unwrap(), [2000, 3000, 4000]);
}

#[tokio::test]
async fn a_pool_without_a_share_refuses_attempts_and_finishes_those_in_flight() {
    let target = start_target(vec![Script::AnswerAfterMs(100)], "{}").await;
    let client = Arc::new(TestClient::new(target.address, 3, 2));
    let running = Arc::clone(&client);
    let running = tokio::spawn(async move { running.search(TIME_LIMIT_MS).await });
    while target.counters.queries.load(SeqCst) == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    client.pool.set_share(TargetShare::default());
    assert_eq!(
        client.search(TIME_LIMIT_MS).await,
        Err(TargetFault::NoShare)
    );
    assert!(running.await.unwrap().is_ok());
    while client.pool.usage().connections > 0 {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an act that is told not to have run, as the late copy of a refusal that names no attempt
/// is taken for its own.
#[tokio::test]
async fn a_refusal_without_an_attempt_counts_only_on_a_new_connection() {
    let scripts = vec![Script::Status(503, true), Script::RefusalThenAnswer];
    let target = start_target(scripts, "garbage").await;
    let client = TestClient::new(target.address, 2, 1);
    for verdict in [RunVerdict::NotRun, RunVerdict::MayHaveRun] {
        let request = client.request(RequestKind::Act, TIME_LIMIT_MS);
        let error = client.pool.send(request).await.unwrap_err();
        assert_eq!(error.verdict, verdict);
    }
}

/// Guards against an act that is told not to have run, as the late copy of the reply to another
/// cancellation is taken for the reply to its own.
#[tokio::test]
async fn an_act_is_cancelled_on_a_connection_that_has_carried_nothing_else() {
    let delays = [20, 20, 2_000];
    let scripts = delays.map(Script::AnswerAfterMs).to_vec();
    let target = start_target(scripts, "{\"ran\":false}").await;
    let client = TestClient::new(target.address, 3, 2);
    // Both connections for requests are used, and one of them is idle while the act runs.
    let (first, second) = tokio::join!(client.search(TIME_LIMIT_MS), client.search(TIME_LIMIT_MS));
    assert!(first.is_ok() && second.is_ok());
    let request = client.request(RequestKind::Act, 50);
    let error = client.pool.send(request).await.unwrap_err();
    assert_eq!(error.verdict, RunVerdict::NotRun);
    let counters = &target.counters;
    assert_eq!(counters.cancels.load(SeqCst), 1);
    assert_eq!(counters.reused_for_cancel.load(SeqCst), 0);
}
