//! Tests the connection pool for opaque requests against faulty targets.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_base::{MonoTime, TimerService};
use fulmarweir_pool::{
    AddressProbe, ConnectionReuse, ConnectionTerms, RelayFault, RelayPool, RelayReply, RequestEnd,
};
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A target that handles raw TCP connections with a function and counts them.
struct RawTarget {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

async fn start_target<F, R>(handle: F) -> RawTarget
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
            tokio::spawn(handle(number, stream));
        }
    });
    RawTarget {
        address,
        connections,
    }
}

/// Reads one request head; `None` if the connection has ended.
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

async fn query(
    pool: &RelayPool,
    target: &RawTarget,
    reuse: ConnectionReuse,
) -> Result<RelayReply, RelayFault> {
    send(pool, target, terms(reuse), RequestEnd::Answered).await
}

/// Sends one request, and keeps the connection of its reply.
async fn send(
    pool: &RelayPool,
    target: &RawTarget,
    terms: ConnectionTerms<'_>,
    end: RequestEnd,
) -> Result<RelayReply, RelayFault> {
    let exchange = pool.exchange(target.address, request("/q?a=1"), terms, &|| true);
    let exchange = timeout(Duration::from_secs(5), exchange);
    let (reply, connection) = exchange.await.unwrap()?;
    pool.keep(connection, end);
    Ok(reply)
}

/// Returns the terms of a request that no connection has carried before.
fn terms(reuse: ConnectionReuse) -> ConnectionTerms<'static> {
    ConnectionTerms {
        reuse,
        idle_timeout: IDLE_TIMEOUT,
        request_id: b"r-1",
        deadline: MonoTime::from_millis(60_000),
    }
}

fn new_pool() -> RelayPool {
    RelayPool::new(TimerService::new())
}

#[tokio::test]
async fn a_connection_is_reused() {
    let target = start_target(|_, mut stream| async move {
        while let Some(head) = read_head(&mut stream).await {
            assert!(head.starts_with("GET /q?a=1 HTTP/1.1\r\n"), "{head}");
            answer(&mut stream, "", "part").await;
        }
    })
    .await;
    let pool = new_pool();
    for _ in 0..5 {
        let reply = query(&pool, &target, ConnectionReuse::Any).await.unwrap();
        assert_eq!(reply.body, "part");
    }
    assert_eq!(target.connections.load(SeqCst), 1);
    query(&pool, &target, ConnectionReuse::Never).await.unwrap();
    assert_eq!(target.connections.load(SeqCst), 2);
}

#[tokio::test]
async fn a_connection_closed_while_idle_fails_no_request() {
    let target = start_target(|_, mut stream| async move {
        read_head(&mut stream).await;
        answer(&mut stream, "", "part").await;
    })
    .await;
    let pool = new_pool();
    for _ in 0..3 {
        query(&pool, &target, ConnectionReuse::Any).await.unwrap();
        sleep(Duration::from_millis(30)).await;
    }
}

#[tokio::test]
async fn keep_alive_timeouts_of_targets_are_respected() {
    let target = start_target(|_, mut stream| async move {
        while read_head(&mut stream).await.is_some() {
            answer(&mut stream, "keep-alive: timeout=1\r\n", "part").await;
        }
    })
    .await;
    let pool = new_pool();
    query(&pool, &target, ConnectionReuse::Any).await.unwrap();
    sleep(Duration::from_millis(400)).await;
    query(&pool, &target, ConnectionReuse::Any).await.unwrap();
    assert_eq!(target.connections.load(SeqCst), 2);
}

/// A request that must not run twice is not sent on a connection that may be dead.
#[tokio::test]
async fn only_recent_connections_carry_requests_that_must_not_run_twice() {
    let target = start_target(|_, mut stream| async move {
        while read_head(&mut stream).await.is_some() {
            answer(&mut stream, "", "part").await;
        }
    })
    .await;
    let pool = new_pool();
    query(&pool, &target, ConnectionReuse::Recent)
        .await
        .unwrap();
    query(&pool, &target, ConnectionReuse::Recent)
        .await
        .unwrap();
    assert_eq!(target.connections.load(SeqCst), 1);
    sleep(Duration::from_millis(400)).await;
    query(&pool, &target, ConnectionReuse::Recent)
        .await
        .unwrap();
    assert_eq!(target.connections.load(SeqCst), 2);
}

#[tokio::test]
async fn a_truncated_reply_is_a_broken_exchange() {
    let target = start_target(|_, mut stream| async move {
        read_head(&mut stream).await;
        let text = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart";
        stream.write_all(text.as_bytes()).await.unwrap();
    })
    .await;
    let fault = query(&new_pool(), &target, ConnectionReuse::Any)
        .await
        .unwrap_err();
    assert_eq!(fault, RelayFault::Broken);
}

#[tokio::test]
async fn an_invalid_reply_is_a_broken_exchange() {
    let target = start_target(|_, mut stream| async move {
        read_head(&mut stream).await;
        stream.write_all(b"oops oops oops\r\n\r\n").await.unwrap();
    })
    .await;
    let fault = query(&new_pool(), &target, ConnectionReuse::Any)
        .await
        .unwrap_err();
    assert_eq!(fault, RelayFault::Broken);
}

/// Bytes after a complete reply must not become the reply to the next request.
#[tokio::test]
async fn extra_bytes_close_their_connection() {
    let target = start_target(|number, mut stream| async move {
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
    let pool = new_pool();
    query(&pool, &target, ConnectionReuse::Any).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let reply = query(&pool, &target, ConnectionReuse::Any).await.unwrap();
    assert_eq!(reply.body, "own");
    assert_eq!(target.connections.load(SeqCst), 2);
}

#[tokio::test]
async fn a_refused_connection_is_a_connect_fault() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let pool = new_pool();
    let exchange = pool.exchange(address, request("/"), terms(ConnectionReuse::Any), &|| true);
    assert_eq!(exchange.await.unwrap_err(), RelayFault::ConnectRefused);
}

/// The end of the connection tells the target that the request was abandoned.
#[tokio::test]
async fn a_dropped_exchange_closes_its_connection() {
    let (ended_sender, mut ended_receiver) = tokio::sync::mpsc::channel(1);
    let target = start_target(move |_, mut stream| {
        let ended_sender = ended_sender.clone();
        async move {
            read_head(&mut stream).await;
            let mut rest = [0_u8; 16];
            let ended = stream.read(&mut rest).await;
            ended_sender
                .send(matches!(ended, Ok(0) | Err(_)))
                .await
                .unwrap();
        }
    })
    .await;
    let pool = new_pool();
    let any = terms(ConnectionReuse::Any);
    let exchange = pool.exchange(target.address, request("/"), any, &|| true);
    assert!(timeout(Duration::from_millis(50), exchange).await.is_err());
    let ended = timeout(Duration::from_millis(400), ended_receiver.recv()).await;
    assert_eq!(ended.unwrap(), Some(true));
}

/// A target over its connection limit accepts a connection and resets it at once.
#[tokio::test]
async fn a_connection_over_the_limit_is_distinguished_from_a_lost_reply() {
    let rejecting = start_target(|_, stream| async move {
        stream.set_zero_linger().unwrap();
        drop(stream);
    })
    .await;
    let pool = new_pool();
    let fault = query(&pool, &rejecting, ConnectionReuse::Any)
        .await
        .unwrap_err();
    assert!(
        matches!(fault, RelayFault::OverLimit | RelayFault::NotSent),
        "{fault:?}"
    );
    // A request that must not run twice has not been sent yet either.
    let fault = query(&pool, &rejecting, ConnectionReuse::Recent)
        .await
        .unwrap_err();
    assert!(
        matches!(fault, RelayFault::OverLimit | RelayFault::NotSent),
        "{fault:?}"
    );

    let unanswering = start_target(|_, mut stream| async move {
        read_head(&mut stream).await;
        sleep(Duration::from_millis(20)).await;
        stream.set_zero_linger().unwrap();
    })
    .await;
    let fault = query(&pool, &unanswering, ConnectionReuse::Any)
        .await
        .unwrap_err();
    assert_eq!(fault, RelayFault::Broken);
}

/// Load pattern: a target that has answered before reaches its connection limit. Only the first
/// request may be lost; the next ones wait until the target had time to reset the connection.
#[tokio::test]
async fn after_a_reset_requests_are_not_sent_before_the_connection_is_known_to_be_accepted() {
    let target = start_target(|number, mut stream| async move {
        if number == 0 {
            read_head(&mut stream).await;
            answer(&mut stream, "connection: close\r\n", "part").await;
        } else {
            stream.set_zero_linger().unwrap();
        }
    })
    .await;
    let pool = new_pool();
    query(&pool, &target, ConnectionReuse::Any).await.unwrap();
    let fault = query(&pool, &target, ConnectionReuse::Any)
        .await
        .unwrap_err();
    assert_ne!(fault, RelayFault::Connect);
    for _ in 0..3 {
        let fault = query(&pool, &target, ConnectionReuse::Any)
            .await
            .unwrap_err();
        assert!(
            matches!(fault, RelayFault::OverLimit | RelayFault::NotSent),
            "{fault:?}"
        );
    }
}

/// A caller passes a short idle timeout where connections to the target are scarce.
#[tokio::test]
async fn idle_connections_expire_after_the_idle_timeout() {
    let target = start_target(|_, mut stream| async move {
        while read_head(&mut stream).await.is_some() {
            answer(&mut stream, "", "part").await;
        }
    })
    .await;
    let pool = new_pool();
    let short = ConnectionTerms {
        idle_timeout: Duration::from_millis(30),
        ..terms(ConnectionReuse::Any)
    };
    for _ in 0..2 {
        send(&pool, &target, short, RequestEnd::Answered)
            .await
            .unwrap();
        sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(target.connections.load(SeqCst), 2);
    pool.close_expired();
    assert_eq!(pool.idle_count(), 0);
}

/// Guards against requests that were assigned to a target before it asked for time, and would be
/// sent once their connection is open, new or kept.
#[tokio::test]
async fn a_request_that_is_withheld_while_it_waits_for_a_connection_is_not_sent() {
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    let target = start_target(move |_, mut stream| {
        let counter = Arc::clone(&counter);
        async move {
            while read_head(&mut stream).await.is_some() {
                counter.fetch_add(1, SeqCst);
                answer(&mut stream, "", "part").await;
            }
        }
    })
    .await;
    let pool = new_pool();
    let withhold = async |reuse| {
        let exchange = pool.exchange(target.address, request("/"), terms(reuse), &|| false);
        exchange.await.unwrap_err()
    };
    for reuse in [ConnectionReuse::Any, ConnectionReuse::Never] {
        assert_eq!(withhold(reuse).await, RelayFault::Withheld);
    }
    query(&pool, &target, ConnectionReuse::Any).await.unwrap();
    assert_eq!(pool.idle_count(), 1);
    assert_eq!(withhold(ConnectionReuse::Any).await, RelayFault::Withheld);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(requests.load(SeqCst), 1);
}

/// A probe tells a target that has ended from one that only lost a connection.
#[tokio::test]
async fn a_probe_tells_what_an_address_does() {
    let pool = new_pool();
    let listening = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listening.local_addr().unwrap();
    assert_eq!(pool.probe(address).await, AddressProbe::Listening);
    drop(listening);
    assert_eq!(pool.probe(address).await, AddressProbe::Refusing);
    let closing = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closing.local_addr().unwrap();
    let accepted = tokio::spawn(async move {
        let mut accepted = 0;
        while let Ok(Ok((stream, _))) = timeout(Duration::from_secs(1), closing.accept()).await {
            accepted += 1;
            drop(stream);
        }
        accepted
    });
    assert_eq!(pool.probe(address).await, AddressProbe::Closing);
    assert_eq!(
        accepted.await.unwrap(),
        2,
        "a target over its limit is not pressed"
    );
}

/// Guards against the late copy of a refusal that is taken for the reply to the next attempt of the same
/// request. Other requests can tell it by its id.
#[tokio::test]
async fn a_connection_carries_no_second_attempt_of_an_unanswered_request() {
    let target = start_target(|_, mut stream| async move {
        while read_head(&mut stream).await.is_some() {
            answer(&mut stream, "", "part").await;
        }
    })
    .await;
    let pool = new_pool();
    let of = |request_id, reuse| ConnectionTerms {
        request_id,
        ..terms(reuse)
    };
    let (first, second): (&[u8], &[u8]) = (b"r-1", b"r-2");
    let exchange = async |request_id, reuse, end| {
        send(&pool, &target, of(request_id, reuse), end)
            .await
            .unwrap();
        target.connections.load(SeqCst)
    };
    let (unanswered, answered) = (RequestEnd::Unanswered, RequestEnd::Answered);
    let recent = ConnectionReuse::Recent;
    assert_eq!(exchange(first, recent, unanswered).await, 1);
    assert_eq!(exchange(second, recent, unanswered).await, 1, "reused");
    // Both requests were on the only connection, whose place the new one takes.
    assert_eq!(exchange(first, ConnectionReuse::Any, unanswered).await, 2);
    assert_eq!(pool.idle_count(), 1);
    assert_eq!(exchange(second, recent, answered).await, 2, "reused");
    assert_eq!(exchange(second, recent, answered).await, 2, "reused");
}

/// Guards against a connection that is reused before its reply was judged.
#[tokio::test]
async fn a_connection_is_closed_unless_it_is_kept() {
    let target = start_target(|_, mut stream| async move {
        while read_head(&mut stream).await.is_some() {
            answer(&mut stream, "", "part").await;
        }
    })
    .await;
    let pool = new_pool();
    for connections in 1..=3 {
        let any = terms(ConnectionReuse::Any);
        let exchange = pool.exchange(target.address, request("/"), any, &|| true);
        drop(exchange.await.unwrap());
        assert_eq!(pool.idle_count(), 0);
        assert_eq!(target.connections.load(SeqCst), connections);
    }
}

/// Guards against a connection that remembers requests without end.
#[tokio::test]
async fn a_connection_that_has_carried_too_many_refused_requests_is_closed() {
    let target = start_target(|_, mut stream| async move {
        while read_head(&mut stream).await.is_some() {
            answer(&mut stream, "", "part").await;
        }
    })
    .await;
    let pool = new_pool();
    for number in 0..200 {
        let id = format!("r-{number}");
        let terms = ConnectionTerms {
            request_id: id.as_bytes(),
            ..terms(ConnectionReuse::Any)
        };
        let end = RequestEnd::Unanswered;
        send(&pool, &target, terms, end).await.unwrap();
    }
    assert_eq!(target.connections.load(SeqCst), 2);
}
