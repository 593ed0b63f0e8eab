//! A proxy that passes bytes on after a delay, as a longer link does.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::mpsc::channel,
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

/// Passes what arrives at `listen` on to `target`, and back, each way after `delay`.
pub fn start(listen: SocketAddr, target: SocketAddr, delay: Duration) {
    let listener = TcpListener::bind(listen).expect("the proxy's address is free");
    spawn(move || {
        for client in listener.incoming().flatten() {
            spawn(move || {
                let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
                    return;
                };
                for stream in [&client, &server] {
                    let _ = stream.set_nodelay(true);
                }
                let (Ok(client_back), Ok(server_back)) = (client.try_clone(), server.try_clone())
                else {
                    return;
                };
                spawn(move || pass(server_back, client_back, delay));
                pass(client, server, delay);
            });
        }
    });
}

fn pass(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    let end = to.try_clone();
    let writer = spawn(move || {
        for (due, bytes) in receiver {
            sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    });
    let mut chunk = vec![0; 65_536];
    while let Ok(read) = from.read(&mut chunk) {
        let due = Instant::now() + delay;
        if read == 0 || sender.send((due, chunk[..read].to_vec())).is_err() {
            break;
        }
    }
    drop(sender);
    let _ = writer.join();
    if let Ok(end) = end {
        let _ = end.shutdown(Shutdown::Both);
    }
    let _ = from.shutdown(Shutdown::Both);
}
