//! Links against scripted targets: late, crossed, doubled, truncated and refused replies.

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
    ConnectionPool, LinkShare, ReportedLoad, RequestKind, TargetFault, TargetRequest,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::task::TaskTracker;

/// What a scripted target does with one request.
#[derive(Clone, Debug)]
enum Script {
    Answer,
    AnswerAfterMs(u64),
    EchoOtherAttempt,
    AnswerTwice,
    CutShort,
    CloseUnread,
    Status(u16, bool),
}

#[derive(Default)]
struct Seen {
    queries: AtomicUsize,
    cancels: AtomicUsize,
    open: AtomicUsize,
    open_max: AtomicUsize,
    running: AtomicUsize,
    running_max: AtomicUsize,
}

struct ScriptedTarget {
    address: SocketAddr,
    seen: Arc<Seen>,
}

/// A target that runs the scripts in order, and then answers plainly.
async fn start_target(scripts: Vec<Script>, cancel_reply: &'static str) -> ScriptedTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Arc::new(Seen::default());
    let scripts = Arc::new(Mutex::new(scripts.into_iter()));
    let shared = Arc::clone(&seen);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let scripts = Arc::clone(&scripts);
            let seen = Arc::clone(&shared);
            let open = seen.open.fetch_add(1, SeqCst) + 1;
            seen.open_max.fetch_max(open, SeqCst);
            tokio::spawn(async move {
                let next = || scripts.lock().unwrap().next().unwrap_or(Script::Answer);
                let _ = serve(stream, &seen, &next, cancel_reply).await;
                seen.open.fetch_sub(1, SeqCst);
            });
        }
    });
    ScriptedTarget { address, seen }
}

struct Head {
    path: String,
    attempt: String,
    shard: String,
    version: String,
}

async fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut line = String::new();
    if reader.read_line(&mut line).await.ok()? == 0 {
        return None;
    }
    let path = line.split(' ').nth(1)?.to_owned();
    let mut head = Head {
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

fn reply(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn answer(head: &Head, attempt: &str) -> String {
    let headers = format!(
        "fulmarweir-attempt: {attempt}\r\nfulmarweir-version: {}\r\nfulmarweir-shard: {}\r\nfulmarweir-load: 1/3/2\r\n",
        head.version, head.shard
    );
    reply(200, &headers, &format!("{{\"for\":\"{}\"}}", head.attempt))
}

async fn serve(
    stream: TcpStream,
    seen: &Seen,
    next: &(dyn Fn() -> Script + Sync),
    cancel_reply: &str,
) -> Option<()> {
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_request(&mut reader).await {
        if head.path == "/cancel" {
            seen.cancels.fetch_add(1, SeqCst);
            let text = reply(200, "", cancel_reply);
            reader.get_mut().write_all(text.as_bytes()).await.ok()?;
            continue;
        }
        seen.queries.fetch_add(1, SeqCst);
        let running = seen.running.fetch_add(1, SeqCst) + 1;
        seen.running_max.fetch_max(running, SeqCst);
        let text = run_script(&next(), &head).await;
        seen.running.fetch_sub(1, SeqCst);
        let (text, stays) = text?;
        reader.get_mut().write_all(text.as_bytes()).await.ok()?;
        if !stays {
            return None;
        }
    }
    Some(())
}

/// The reply, and whether the connection stays open; `None` closes without a reply.
async fn run_script(script: &Script, head: &Head) -> Option<(String, bool)> {
    let whole = answer(head, &head.attempt);
    match script {
        Script::Answer => Some((whole, true)),
        Script::AnswerAfterMs(delay) => {
            sleep(Duration::from_millis(*delay)).await;
            Some((whole, true))
        }
        Script::EchoOtherAttempt => Some((answer(head, "other"), true)),
        Script::AnswerTwice => Some((whole.clone() + &whole, true)),
        Script::CutShort => Some((whole[..whole.len() - 3].to_owned(), false)),
        Script::CloseUnread => None,
        Script::Status(status, not_run) => {
            let headers = if *not_run {
                "fulmarweir-not-run: true\r\nretry-after: 2\r\n"
            } else {
                ""
            };
            Some((reply(*status, headers, "{}"), true))
        }
    }
}

struct Bench {
    timer: TimerService,
    link: ConnectionPool,
    next: AtomicUsize,
}

impl Bench {
    fn new(address: SocketAddr, connections: u32, concurrency: u32) -> Self {
        let timer = TimerService::new();
        let share = LinkShare {
            connections,
            concurrency,
        };
        let link = ConnectionPool::new(address, share, timer.clone(), TaskTracker::new());
        Self {
            timer,
            link,
            next: AtomicUsize::new(0),
        }
    }

    fn request(&self, kind: RequestKind, patience_ms: u64) -> TargetRequest {
        let number = self.next.fetch_add(1, SeqCst);
        TargetRequest {
            service: "s".parse().unwrap(),
            kind,
            request: "r".into(),
            attempt: format!("r-{number}").into(),
            version: 42,
            shard: 0,
            of: 3,
            deadline: self.timer.now() + Duration::from_millis(patience_ms),
            key: Some("k".into()),
            body: Bytes::from_static(b"{}"),
        }
    }

    async fn search(&self, patience_ms: u64) -> Result<String, TargetFault> {
        let request = self.request(RequestKind::Search, patience_ms);
        let attempt = request.attempt.to_string();
        match self.link.send(request).await {
            Ok(answer) => {
                let text = String::from_utf8(answer.body.to_vec()).unwrap();
                assert!(text.contains(&format!("\"{attempt}\"")), "{text}");
                Ok(text)
            }
            Err(error) => Err(error.fault),
        }
    }
}

const LONG_MS: u64 = 5000;

#[tokio::test]
async fn an_answer_carries_the_reported_load() {
    let target = start_target(vec![], "{}").await;
    let bench = Bench::new(target.address, 4, 2);
    let request = bench.request(RequestKind::Search, LONG_MS);
    let answer = bench.link.send(request).await.unwrap();
    let load = ReportedLoad {
        in_flight: 1,
        slots: 3,
        queued: 2,
    };
    assert_eq!(answer.load, Some(load));
}

#[tokio::test]
async fn a_crossed_reply_is_dropped_and_its_connection_closed() {
    let target = start_target(vec![Script::EchoOtherAttempt], "{}").await;
    let bench = Bench::new(target.address, 2, 1);
    assert_eq!(bench.search(LONG_MS).await, Err(TargetFault::BadEcho));
    assert!(bench.search(LONG_MS).await.is_ok());
}

#[tokio::test]
async fn the_second_of_two_replies_answers_nobody() {
    let target = start_target(vec![Script::AnswerTwice, Script::AnswerTwice], "{}").await;
    let bench = Bench::new(target.address, 3, 1);
    for _ in 0..20 {
        // `search` checks that an answer is for its own attempt; a failed attempt is allowed here.
        let _ = bench.search(LONG_MS).await;
    }
    assert!(bench.search(LONG_MS).await.is_ok());
}

#[tokio::test]
async fn a_reply_cut_short_may_have_run() {
    let target = start_target(vec![Script::CutShort, Script::CloseUnread], "{}").await;
    let bench = Bench::new(target.address, 2, 1);
    for _ in 0..2 {
        let request = bench.request(RequestKind::Act, LONG_MS);
        let error = bench.link.send(request).await.unwrap_err();
        assert_eq!(error.fault, TargetFault::Broken);
        assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    }
}

#[tokio::test]
async fn only_the_word_of_the_target_makes_a_refusal_not_run() {
    let scripts = vec![
        Script::Status(503, true),
        Script::Status(503, false),
        Script::Status(410, true),
        Script::Status(500, true),
    ];
    let target = start_target(scripts, "{}").await;
    let bench = Bench::new(target.address, 4, 1);
    let expected = [
        (TargetFault::Shed, RunVerdict::NotRun),
        (TargetFault::BadStatus, RunVerdict::MayHaveRun),
        (TargetFault::VersionGone, RunVerdict::NotRun),
        (TargetFault::BadStatus, RunVerdict::MayHaveRun),
    ];
    for (fault, verdict) in expected {
        let request = bench.request(RequestKind::Act, LONG_MS);
        let error = bench.link.send(request).await.unwrap_err();
        assert_eq!((error.fault, error.verdict), (fault, verdict));
    }
}

#[tokio::test]
async fn an_act_past_its_deadline_is_not_run_only_when_the_cancel_says_so() {
    for (cancel_reply, verdict) in [
        ("{\"ran\":false}", RunVerdict::NotRun),
        ("{\"ran\":true}", RunVerdict::MayHaveRun),
        ("garbage", RunVerdict::MayHaveRun),
    ] {
        let target = start_target(vec![Script::AnswerAfterMs(2000)], cancel_reply).await;
        let bench = Bench::new(target.address, 3, 1);
        let request = bench.request(RequestKind::Act, 50);
        let error = bench.link.send(request).await.unwrap_err();
        assert_eq!(error.fault, TargetFault::Timeout);
        assert_eq!(error.verdict, verdict, "{cancel_reply}");
        assert_eq!(target.seen.cancels.load(SeqCst), 1);
    }
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_its_attempt() {
    let target = start_target(vec![Script::AnswerAfterMs(2000)], "{\"ran\":false}").await;
    let bench = Bench::new(target.address, 3, 1);
    let request = bench.request(RequestKind::Search, LONG_MS);
    let link = bench.link.clone();
    let task = tokio::spawn(async move { link.send(request).await });
    while target.seen.queries.load(SeqCst) == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    task.abort();
    while target.seen.cancels.load(SeqCst) == 0 {
        sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn limits_hold_while_attempts_are_abandoned() {
    let scripts = (0..60).map(|n| Script::AnswerAfterMs(if n % 5 == 0 { 80 } else { 3 }));
    let target = start_target(scripts.collect(), "{\"ran\":true}").await;
    let bench = Bench::new(target.address, 5, 3);
    let searches = (0..60).map(|_| bench.search(60));
    futures::future::join_all(searches).await;
    assert!(target.seen.running_max.load(SeqCst) <= 3);
    assert!(target.seen.open_max.load(SeqCst) <= 5);
}

#[tokio::test]
async fn waiting_attempts_get_slots_in_the_order_of_their_deadlines() {
    let target = start_target(vec![Script::AnswerAfterMs(100)], "{}").await;
    let bench = Arc::new(Bench::new(target.address, 2, 1));
    let running = Arc::clone(&bench);
    let first = tokio::spawn(async move { running.search(LONG_MS).await });
    while target.seen.queries.load(SeqCst) == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut waits = Vec::new();
    for patience_ms in [4000, 2000, 3000] {
        let request = bench.request(RequestKind::Search, patience_ms);
        let link = bench.link.clone();
        let order = Arc::clone(&order);
        waits.push(tokio::spawn(async move {
            link.send(request).await.unwrap();
            order.lock().unwrap().push(patience_ms);
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
async fn a_link_without_a_share_takes_nothing_new_and_finishes_the_rest() {
    let target = start_target(vec![Script::AnswerAfterMs(100)], "{}").await;
    let bench = Arc::new(Bench::new(target.address, 3, 2));
    let running = Arc::clone(&bench);
    let running = tokio::spawn(async move { running.search(LONG_MS).await });
    while target.seen.queries.load(SeqCst) == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    bench.link.set_share(LinkShare::default());
    assert_eq!(bench.search(LONG_MS).await, Err(TargetFault::NoShare));
    assert!(running.await.unwrap().is_ok());
    while bench.link.usage().connections > 0 {
        sleep(Duration::from_millis(5)).await;
    }
}
