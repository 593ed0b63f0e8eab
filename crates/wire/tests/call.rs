//! Tests calls between a client and a server over loopback.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering::SeqCst},
    },
    time::Duration,
};

use fulmarweir_base::RunVerdict;
use fulmarweir_wire::{PeerClient, PeerServer, TrafficClass, TrafficMeter, WireFault};
use tokio::{net::TcpListener, task::JoinHandle, time::sleep};
use tokio_util::sync::CancellationToken;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

struct DropCounter(Arc<AtomicU32>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.fetch_add(1, SeqCst);
    }
}

/// Starts a server that replies with the doubled number. It never replies to 0 and delays replies
/// to odd numbers. `dropped` counts the handler futures that have ended or were cancelled.
async fn start_server(dropped: Arc<AtomicU32>) -> (SocketAddr, CancellationToken, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let handler = move |_from: SocketAddr, number: u32| {
        let guard = DropCounter(Arc::clone(&dropped));
        let work: Pin<Box<dyn Future<Output = u32> + Send>> = Box::pin(async move {
            let _guard = guard;
            match number {
                0 => std::future::pending::<()>().await,
                n if n % 2 == 1 => sleep(Duration::from_millis(50)).await,
                _ => {}
            }
            number * 2
        });
        (TrafficClass::Control, work)
    };
    let server = PeerServer::new(handler, Arc::default(), stop.clone());
    let task = tokio::spawn(server.serve(listener));
    (address, stop, task)
}

#[tokio::test]
async fn replies_out_of_order_reach_their_own_calls() {
    let (address, stop, task) = start_server(Arc::default()).await;
    let meter = Arc::new(TrafficMeter::default());
    let client = PeerClient::<u32, u32>::new(Arc::clone(&meter));
    let calls = (1..50_u32).map(|number| {
        let client = client.clone();
        async move {
            let reply = client
                .call(address, TrafficClass::Query, &number, CALL_TIMEOUT)
                .await;
            assert_eq!(reply.unwrap(), number * 2);
        }
    });
    futures::future::join_all(calls).await;
    assert_eq!(meter.totals(TrafficClass::Query).calls, 49);
    client.close().await;
    stop.cancel();
    task.await.unwrap();
}

#[tokio::test]
async fn dropping_a_call_cancels_the_work_at_the_peer() {
    let dropped = Arc::new(AtomicU32::new(0));
    let (address, _stop, _task) = start_server(Arc::clone(&dropped)).await;
    let client = PeerClient::<u32, u32>::new(Arc::default());
    let error = client
        .call(address, TrafficClass::Query, &0, Duration::from_millis(100))
        .await
        .unwrap_err();
    assert_eq!(error.fault, WireFault::Timeout);
    assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    while dropped.load(SeqCst) == 0 {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Load pattern: a peer is slow. A short call that times out there, such as a probe, says nothing
/// about the work that is in flight on the same connection: it was given up with it.
#[tokio::test]
async fn a_call_that_times_out_does_not_end_others_at_a_slow_peer() {
    let (address, stop, task) = start_server(Arc::default()).await;
    let client = PeerClient::<u32, u32>::new(Arc::default());
    let slow = {
        let client = client.clone();
        tokio::spawn(async move {
            client
                .call(address, TrafficClass::Query, &7, CALL_TIMEOUT)
                .await
        })
    };
    sleep(Duration::from_millis(10)).await;
    let short = Duration::from_millis(15);
    let error = client
        .call(address, TrafficClass::Control, &0, short)
        .await
        .unwrap_err();
    assert_eq!(error.fault, WireFault::Timeout);
    assert_eq!(slow.await.unwrap().unwrap(), 14);
    let next = client.call(address, TrafficClass::Query, &4, CALL_TIMEOUT);
    assert_eq!(next.await.unwrap(), 8);
    client.close().await;
    stop.cancel();
    task.await.unwrap();
}

#[tokio::test]
async fn a_call_to_an_unreachable_peer_has_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = PeerClient::<u32, u32>::new(Arc::default());
    let error = client
        .call(address, TrafficClass::Query, &2, CALL_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error.fault, WireFault::Connect);
    assert_eq!(error.verdict, RunVerdict::NotRun);
}

#[tokio::test]
async fn graceful_shutdown_finishes_calls_in_flight() {
    let (address, stop, task) = start_server(Arc::default()).await;
    let client = PeerClient::<u32, u32>::new(Arc::default());
    let call = {
        let client = client.clone();
        tokio::spawn(async move {
            client
                .call(address, TrafficClass::Query, &7, CALL_TIMEOUT)
                .await
        })
    };
    sleep(Duration::from_millis(20)).await;
    stop.cancel();
    assert_eq!(call.await.unwrap().unwrap(), 14);
    client.close().await;
    task.await.unwrap();
}

#[tokio::test]
async fn a_client_reconnects_after_the_peer_restarted() {
    let (address, stop, task) = start_server(Arc::default()).await;
    let client = PeerClient::<u32, u32>::new(Arc::default());
    assert!(
        client
            .call(address, TrafficClass::Query, &2, CALL_TIMEOUT)
            .await
            .is_ok()
    );
    stop.cancel();
    task.await.unwrap();
    let error = client
        .call(address, TrafficClass::Query, &2, CALL_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error.verdict, RunVerdict::NotRun);
    let listener = TcpListener::bind(address).await.unwrap();
    let handler = |_from: SocketAddr, n: u32| (TrafficClass::Query, async move { n + 1 });
    let server = PeerServer::<u32, u32, _>::new(handler, Arc::default(), CancellationToken::new());
    let _task = tokio::spawn(server.serve(listener));
    assert_eq!(
        client
            .call(address, TrafficClass::Query, &2, CALL_TIMEOUT)
            .await
            .unwrap(),
        3
    );
}
