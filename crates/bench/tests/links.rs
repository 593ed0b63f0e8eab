//! Tests of the link proxy: delay, holding back bytes in both or one direction, and reset.

use std::time::Duration;

use fulmarweir_bench::{LinkProxy, LinkState};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

const SILENCE: Duration = Duration::from_millis(60);

/// A client and a server connected through a proxy.
struct Link {
    proxy: LinkProxy,
    client: TcpStream,
    server: TcpStream,
}

async fn connect() -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = listener.local_addr().unwrap();
    let proxy = LinkProxy::start("127.0.0.1:0".parse().unwrap(), upstream)
        .await
        .unwrap();
    let client = TcpStream::connect(proxy.address()).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    Link {
        proxy,
        client,
        server,
    }
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    timeout(SILENCE, stream.read_u8()).await.is_err()
}

#[tokio::test]
async fn a_cut_link_is_silent_and_heals_without_loss() {
    let mut link = connect().await;
    link.client.write_u8(1).await.unwrap();
    assert_eq!(link.server.read_u8().await.unwrap(), 1);
    link.proxy.set_state(LinkState::cut());
    link.client.write_u8(2).await.unwrap();
    link.server.write_u8(3).await.unwrap();
    assert!(is_silent(&mut link.server).await);
    assert!(is_silent(&mut link.client).await);
    link.proxy.set_state(LinkState::default());
    assert_eq!(link.server.read_u8().await.unwrap(), 2);
    assert_eq!(link.client.read_u8().await.unwrap(), 3);
    link.proxy.stop().await;
}

#[tokio::test]
async fn one_way_silence_lets_the_other_way_pass() {
    let mut link = connect().await;
    link.proxy.set_state(LinkState {
        hold_backward: true,
        ..LinkState::default()
    });
    link.client.write_u8(1).await.unwrap();
    assert_eq!(link.server.read_u8().await.unwrap(), 1);
    link.server.write_u8(2).await.unwrap();
    assert!(is_silent(&mut link.client).await);
    link.proxy.stop().await;
}

#[tokio::test]
async fn a_delay_holds_for_at_least_its_time() {
    let mut link = connect().await;
    link.proxy.set_state(LinkState::delayed(SILENCE));
    let start = Instant::now();
    link.client.write_u8(1).await.unwrap();
    assert_eq!(link.server.read_u8().await.unwrap(), 1);
    assert!(start.elapsed() >= SILENCE);
    link.proxy.stop().await;
}

#[tokio::test]
async fn a_reset_closes_open_connections() {
    let mut link = connect().await;
    link.proxy.set_state(LinkState {
        reset: true,
        ..LinkState::default()
    });
    assert!(link.client.read_u8().await.is_err());
    assert!(link.server.read_u8().await.is_err());
    link.proxy.stop().await;
}
