//! Connections for opaque requests, against targets that misbehave.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_base::TimerService;
use fulmarweir_pool::{ConnectionNeed, RelayFault, RelayLinks, RelayReply};
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const KEEP: Duration = Duration::from_secs(4);

/// A target that treats each connection by a function; counts connections.
struct RawTarget {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

async fn raw_target<F, R>(treat: F) -> RawTarget
where
    F: Fn(usize, TcpStream) -> R + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&connections);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let number = counter.fetch_add(1, SeqCst);
            tokio::spawn(treat(number, stream));
        }
    });
    RawTarget {
        address,
        connections,
    }
}

/// Reads one request head; `None` at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0_u8; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

async fn answer(stream: &mut TcpStream, headers: &str, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n{headers}\r\n{body}");
    stream.write_all(text.as_bytes()).await.unwrap();
}

fn request(path: &str) -> Request<Full<Bytes>> {
    Request::get(path)
        .header("host", "shard.example")
        .body(Full::default())
        .unwrap()
}

async fn ask(
    links: &RelayLinks,
    target: &RawTarget,
    need: ConnectionNeed,
) -> Result<RelayReply, RelayFault> {
    let exchange = links.exchange(target.address, request("/q?a=1"), need, KEEP);
    timeout(Duration::from_secs(5), exchange).await.unwrap()
}

fn links() -> RelayLinks {
    RelayLinks::new(TimerService::new())
}

#[tokio::test]
async fn a_connection_is_used_again() {
    let target = raw_target(|_, mut stream| async move {
        while let Some(head) = read_head(&mut stream).await {
            assert!(head.starts_with("GET /q?a=1 HTTP/1.1\r\n"), "{head}");
            answer(&mut stream, "", "part").await;
        }
    })
    .await;
    let links = links();
    for _ in 0..5 {
        let reply = ask(&links, &target, ConnectionNeed::Any).await.unwrap();
        assert_eq!(reply.body, "part");
    }
    assert_eq!(target.connections.load(SeqCst), 1);
    ask(&links, &target, ConnectionNeed::Fresh).await.unwrap();
    assert_eq!(target.connections.load(SeqCst), 2);
}

#[tokio::test]
async fn a_connection_closed_while_idle_costs_no_request() {
    let target = raw_target(|_, mut stream| async move {
        read_head(&mut stream).await;
        answer(&mut stream, "", "part").await;
    })
    .await;
    let links = links();
    for _ in 0..3 {
        ask(&links, &target, ConnectionNeed::Any).await.unwrap();
        sleep(Duration::from_millis(30)).await;
    }
}

#[tokio::test]
async fn stated_idle_times_are_kept() {
    let target = raw_target(|_, mut stream| async move {
        while read_head(&mut stream).await.is_some() {
            answer(&mut stream, "keep-alive: timeout=1\r\n", "part").await;
        }
    })
    .await;
    let links = links();
    ask(&links, &target, ConnectionNeed::Any).await.unwrap();
    sleep(Duration::from_millis(400)).await;
    ask(&links, &target, ConnectionNeed::Any).await.unwrap();
    assert_eq!(target.connections.load(SeqCst), 2);
}

/// A request that must not run twice is not risked on a connection that may be dead.
#[tokio::test]
async fn only_recent_connections_carry_requests_that_run_once() {
    let target = raw_target(|_, mut stream| async move {
        while read_head(&mut stream).await.is_some() {
            answer(&mut stream, "", "part").await;
        }
    })
    .await;
    let links = links();
    ask(&links, &target, ConnectionNeed::Recent).await.unwrap();
    ask(&links, &target, ConnectionNeed::Recent).await.unwrap();
    assert_eq!(target.connections.load(SeqCst), 1);
    sleep(Duration::from_millis(400)).await;
    ask(&links, &target, ConnectionNeed::Recent).await.unwrap();
    assert_eq!(target.connections.load(SeqCst), 2);
}

#[tokio::test]
async fn an_answer_cut_short_is_no_answer() {
    let target = raw_target(|_, mut stream| async move {
        read_head(&mut stream).await;
        let text = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart";
        stream.write_all(text.as_bytes()).await.unwrap();
    })
    .await;
    let fault = ask(&links(), &target, ConnectionNeed::Any)
        .await
        .unwrap_err();
    assert_eq!(fault, RelayFault::Broken);
}

#[tokio::test]
async fn bytes_that_are_no_answer_are_a_fault() {
    let target = raw_target(|_, mut stream| async move {
        read_head(&mut stream).await;
        stream.write_all(b"oops oops oops\r\n\r\n").await.unwrap();
    })
    .await;
    let fault = ask(&links(), &target, ConnectionNeed::Any)
        .await
        .unwrap_err();
    assert_eq!(fault, RelayFault::Broken);
}

/// Bytes after a complete answer must not become the answer to the next request.
#[tokio::test]
async fn extra_bytes_end_their_connection() {
    let target = raw_target(|number, mut stream| async move {
        read_head(&mut stream).await;
        answer(&mut stream, "", "own").await;
        if number == 0 {
            answer(&mut stream, "", "extra").await;
        }
        while read_head(&mut stream).await.is_some() {
            answer(&mut stream, "", "own").await;
        }
    })
    .await;
    let links = links();
    ask(&links, &target, ConnectionNeed::Any).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let reply = ask(&links, &target, ConnectionNeed::Any).await.unwrap();
    assert_eq!(reply.body, "own");
    assert_eq!(target.connections.load(SeqCst), 2);
}

#[tokio::test]
async fn nothing_listens_there() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let links = links();
    let exchange = links.exchange(address, request("/"), ConnectionNeed::Any, KEEP);
    assert_eq!(exchange.await.unwrap_err(), RelayFault::Connect);
}

/// The target learns by the end of its connection that a request is given up.
#[tokio::test]
async fn a_dropped_exchange_closes_its_connection() {
    let (told, mut learned) = tokio::sync::mpsc::channel(1);
    let target = raw_target(move |_, mut stream| {
        let told = told.clone();
        async move {
            read_head(&mut stream).await;
            let mut rest = [0_u8; 16];
            let ended = stream.read(&mut rest).await;
            told.send(matches!(ended, Ok(0) | Err(_))).await.unwrap();
        }
    })
    .await;
    let links = links();
    let exchange = links.exchange(target.address, request("/"), ConnectionNeed::Any, KEEP);
    assert!(timeout(Duration::from_millis(50), exchange).await.is_err());
    let ended = timeout(Duration::from_millis(400), learned.recv()).await;
    assert_eq!(ended.unwrap(), Some(true));
}

/// A target with too many connections accepts and resets at once.
#[tokio::test]
async fn a_connection_over_the_limit_is_told_from_a_lost_answer() {
    let full = raw_target(|_, stream| async move {
        stream.set_zero_linger().unwrap();
        drop(stream);
    })
    .await;
    let links = links();
    let fault = ask(&links, &full, ConnectionNeed::Any).await.unwrap_err();
    assert!(
        matches!(fault, RelayFault::Rejected | RelayFault::NotSent),
        "{fault:?}"
    );
    // A request that must not run twice is not on its way yet.
    let fault = ask(&links, &full, ConnectionNeed::Recent)
        .await
        .unwrap_err();
    assert!(
        matches!(fault, RelayFault::Connect | RelayFault::NotSent),
        "{fault:?}"
    );

    let losing = raw_target(|_, mut stream| async move {
        read_head(&mut stream).await;
        sleep(Duration::from_millis(20)).await;
        stream.set_zero_linger().unwrap();
    })
    .await;
    let fault = ask(&links, &losing, ConnectionNeed::Any).await.unwrap_err();
    assert_eq!(fault, RelayFault::Broken);
}

#[tokio::test]
async fn idle_connections_are_given_up_where_they_are_scarce() {
    let target = raw_target(|_, mut stream| async move {
        while read_head(&mut stream).await.is_some() {
            answer(&mut stream, "", "part").await;
        }
    })
    .await;
    let links = links();
    let short = Duration::from_millis(30);
    for _ in 0..2 {
        let exchange = links.exchange(target.address, request("/"), ConnectionNeed::Any, short);
        exchange.await.unwrap();
        sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(target.connections.load(SeqCst), 2);
    links.tidy();
    assert_eq!(links.idle_count(), 0);
}
