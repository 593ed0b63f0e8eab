//! Tests the pools against targets whose bytes never end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, TimerService};
use fulmarweir_pool::{
    ConnectionReuse, ConnectionTerms, RelayFault, RelayPool, RelayReply, RequestEnd,
};
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Most bytes that a target may have sent by the time its connection is closed: what the pool reads,
/// and what the buffers of both sockets hold.
const SENT_MAX_BYTES: usize = 24 * 1024 * 1024;
/// Time in which the pool must give up a target that sends as fast as it can, without the time for
/// which this thread waits for a processor.
const GIVE_UP: Duration = Duration::from_secs(2);
/// Time limit of a test that hangs.
const HANG_MAX: Duration = Duration::from_mins(1);
/// Time limit of requests that the pool does not give up.
const PATIENCE: Duration = Duration::from_millis(500);
const FINAL: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\npart";
const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";

/// Measures the time that a thread runs or sleeps, but not the time for which it waits for a processor
/// that others use: reading many small pieces takes a fixed amount of processor time.
struct RunWatch {
    started: Instant,
    waited: Duration,
}

impl RunWatch {
    fn start() -> Self {
        Self {
            started: Instant::now(),
            waited: waited_for_processor(),
        }
    }

    fn elapsed(&self) -> Duration {
        let waited = waited_for_processor().saturating_sub(self.waited);
        self.started.elapsed().saturating_sub(waited)
    }
}

/// Returns for how long this thread has waited for a processor so far.
fn waited_for_processor() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let nanos = text.split_whitespace().nth(1).unwrap();
    Duration::from_nanos(nanos.parse().unwrap())
}

/// A target that sends `first`, then `more` again and again, with a pause in between.
struct EndlessTarget {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    /// Connections that the caller has closed.
    closed: Arc<AtomicUsize>,
}

async fn start_endless(first: &'static str, more: &'static str, pause: Duration) -> EndlessTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sent, closed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (sent_bytes, closed_count) = (Arc::clone(&sent), Arc::clone(&closed));
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (sent, closed) = (Arc::clone(&sent_bytes), Arc::clone(&closed_count));
            tokio::spawn(async move {
                send_endlessly(stream, first, more, pause, &sent).await;
                closed.fetch_add(1, SeqCst);
            });
        }
    });
    EndlessTarget {
        address,
        sent,
        closed,
    }
}

/// Sends until the caller closes the connection.
async fn send_endlessly(
    mut stream: TcpStream,
    first: &str,
    more: &str,
    pause: Duration,
    sent: &AtomicUsize,
) {
    let mut request = [0; 1024];
    let _ = stream.read(&mut request).await;
    if stream.write_all(first.as_bytes()).await.is_err() {
        return;
    }
    let repeats = if pause.is_zero() {
        (16 * 1024 / more.len()).max(1)
    } else {
        1
    };
    let block = more.repeat(repeats);
    while stream.write_all(block.as_bytes()).await.is_ok() {
        sent.fetch_add(block.len(), SeqCst);
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
}

async fn query(pool: &RelayPool, address: SocketAddr) -> Result<RelayReply, RelayFault> {
    let request = Request::get("/q")
        .header("host", "shard.example")
        .body(Full::<Bytes>::default())
        .unwrap();
    let terms = ConnectionTerms {
        reuse: ConnectionReuse::Any,
        idle_timeout: Duration::from_secs(4),
        request_id: b"r-1",
        deadline: MonoTime::from_millis(60_000),
    };
    let (reply, connection) = pool.exchange(address, request, terms, &|| true).await?;
    pool.keep(connection, RequestEnd::Answered);
    Ok(reply)
}

/// Asserts that the pool gives up a target that sends as fast as it can, before long and before it
/// has read much.
async fn assert_given_up(first: &'static str, more: &'static str) {
    let target = start_endless(first, more, Duration::ZERO).await;
    let pool = RelayPool::new(TimerService::new());
    let watch = RunWatch::start();
    let reply = timeout(HANG_MAX, query(&pool, target.address)).await;
    let fault = reply.expect("given up").unwrap_err();
    // A rejection would say that the target is over its connection limit, so that it is asked again.
    let expected = [RelayFault::Broken, RelayFault::TooLarge];
    assert!(expected.contains(&fault), "{fault:?}");
    while target.closed.load(SeqCst) == 0 {
        assert!(watch.elapsed() < GIVE_UP, "the connection is closed");
        sleep(Duration::from_millis(10)).await;
    }
    let took = watch.elapsed();
    assert!(took < GIVE_UP, "given up after {took:?}");
    let sent = target.sent.load(SeqCst);
    assert!(sent <= SENT_MAX_BYTES, "{sent} bytes");
}

#[tokio::test]
async fn endless_interim_answers_are_given_up() {
    assert_given_up("", INTERIM).await;
}

#[tokio::test]
async fn endless_interim_answers_with_headers_are_given_up() {
    assert_given_up("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n").await;
}

#[tokio::test]
async fn an_endless_head_is_given_up() {
    assert_given_up("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n").await;
}

#[tokio::test]
async fn an_endless_header_line_is_given_up() {
    assert_given_up("HTTP/1.1 200 OK\r\nx-long: ", "aaaaaaaa").await;
}

#[tokio::test]
async fn endless_bytes_that_are_no_answer_are_given_up() {
    assert_given_up("", "\u{1}\u{2}\u{3}\u{4}").await;
}

#[tokio::test]
async fn endless_chunks_are_given_up() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    assert_given_up(head, "4\r\npart\r\n").await;
}

#[tokio::test]
async fn an_endless_chunk_header_is_given_up() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;";
    assert_given_up(head, "extension").await;
}

#[tokio::test]
async fn endless_trailers_are_given_up() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n";
    assert_given_up(head, "x-trailer: 1\r\n").await;
}

#[tokio::test]
async fn an_endless_body_without_a_length_is_given_up() {
    assert_given_up("HTTP/1.1 200 OK\r\n\r\n", "part").await;
}

#[tokio::test]
async fn endless_bytes_after_an_answer_close_the_connection() {
    let target = start_endless(FINAL, "part", Duration::ZERO).await;
    let pool = RelayPool::new(TimerService::new());
    let started = Instant::now();
    assert_eq!(query(&pool, target.address).await.unwrap().body, "part");
    while target.closed.load(SeqCst) == 0 {
        assert!(started.elapsed() < GIVE_UP, "the connection is closed");
        sleep(Duration::from_millis(10)).await;
    }
    assert!(target.sent.load(SeqCst) <= SENT_MAX_BYTES);
}

/// A caller that gives up a reply closes its connection, however slowly the bytes come.
#[tokio::test]
async fn a_reply_that_drips_is_closed_when_its_caller_gives_up() {
    let drip = Duration::from_millis(5);
    for (first, more) in [
        ("", INTERIM),
        ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n", "a"),
        ("HTTP/1.1 200 OK\r\n\r\n", "a"),
    ] {
        let target = start_endless(first, more, drip).await;
        let pool = RelayPool::new(TimerService::new());
        // A long head ends by its own bound, which is earlier.
        let reply = timeout(PATIENCE, query(&pool, target.address)).await;
        assert!(!matches!(reply, Ok(Ok(_))), "no answer");
        let given_up = Instant::now();
        while target.closed.load(SeqCst) == 0 {
            assert!(given_up.elapsed() < GIVE_UP, "the connection is closed");
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A few interim answers are no fault.
#[tokio::test]
async fn an_answer_after_some_interim_answers_is_delivered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        while stream.read(&mut request).await.unwrap() > 0 {
            let answer = INTERIM.repeat(20) + FINAL;
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    let pool = RelayPool::new(TimerService::new());
    for _ in 0..3 {
        assert_eq!(query(&pool, address).await.unwrap().body, "part");
    }
}

/// The bound of a body that is read whole lies above what a reply may hold.
#[tokio::test]
async fn the_largest_reply_is_delivered() {
    const LENGTH: usize = 4 * 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        while stream.read(&mut request).await.unwrap() > 0 {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LENGTH}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&vec![b'a'; LENGTH]).await.unwrap();
        }
    });
    let pool = RelayPool::new(TimerService::new());
    for _ in 0..3 {
        let reply = query(&pool, address).await.unwrap();
        assert_eq!(reply.body.len(), LENGTH);
    }
}
