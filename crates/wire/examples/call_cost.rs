//! Measures the rate, processor time and bytes of calls between daemons, for client and server
//! together.
//!
//! `cargo run --release -p fulmarweir-wire --example call_cost`

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use fulmarweir_wire::{PeerClient, PeerServer, TrafficClass, TrafficMeter};
use futures::{StreamExt, stream};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const CALLS: u32 = 100_000;
const CONCURRENCY: usize = 64;
const REQUEST_BYTES: usize = 300;
const REPLY_BYTES: usize = 1_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Kernel clock ticks per second, the unit of processor time in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

#[tokio::main]
async fn main() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let meter = Arc::new(TrafficMeter::default());
    let stop = CancellationToken::new();
    let handler = |_from: SocketAddr, _request: Vec<u8>| {
        (TrafficClass::Query, async { vec![0_u8; REPLY_BYTES] })
    };
    let server = PeerServer::new(handler, Arc::clone(&meter), stop.clone());
    let serving = tokio::spawn(server.serve(listener));
    let client = PeerClient::<Vec<u8>, Vec<u8>>::new(Arc::clone(&meter));

    let (started, cpu) = (Instant::now(), cpu_seconds());
    let request = vec![0_u8; REQUEST_BYTES];
    let calls = stream::iter(0..CALLS).map(|_| {
        let (client, request) = (client.clone(), request.clone());
        async move {
            let call = client.call(address, TrafficClass::Query, &request, CALL_TIMEOUT);
            call.await.expect("the server answers");
        }
    });
    calls
        .buffer_unordered(CONCURRENCY)
        .for_each(|()| std::future::ready(()))
        .await;
    let (elapsed, cpu) = (started.elapsed(), cpu_seconds() - cpu);
    let calls = f64::from(CALLS);
    println!("calls a second: {:.0}", calls / elapsed.as_secs_f64());
    println!(
        "processor time of a call, both ends: {:.1} us",
        cpu * 1e6 / calls
    );
    let bytes = meter.totals(TrafficClass::Query).bytes;
    let bytes = bytes / u64::from(CALLS);
    println!("bytes counted for a call at both ends: {bytes}");
    client.close().await;
    stop.cancel();
    let _ = serving.await;
}

fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<_> = stat.split_whitespace().collect();
    let ticks = |index: usize| {
        let field = fields.get(index).and_then(|text| text.parse::<f64>().ok());
        field.unwrap_or_default()
    };
    (ticks(13) + ticks(14)) / TICKS_PER_SECOND
}
