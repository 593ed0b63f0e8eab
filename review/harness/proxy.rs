//! A TCP proxy that delays what passes in each direction.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{channel, Receiver},
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// Forwards connections from `listen` to `target`, each byte `delay` later. The opening of a
/// connection takes a round trip as well.
pub fn start(listen: SocketAddr, target: SocketAddr, delay: Duration) {
    let listener = TcpListener::bind(listen).expect("the address of a proxy is free");
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            thread::spawn(move || {
                sleep(delay * 2);
                let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
                    let _ = near.shutdown(Shutdown::Both);
                    return;
                };
                pipe(&near, &far, delay);
                pipe(&far, &near, delay);
            });
        }
    });
}

/// Forwards one direction of a connection.
fn pipe(from: &TcpStream, to: &TcpStream, delay: Duration) {
    let (Ok(mut from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
    let _ = to.set_nodelay(true);
    let (sender, receiver) = channel();
    thread::spawn(move || forward(&receiver, to));
    thread::spawn(move || {
        let mut chunk = [0; 32 * 1024];
        while let Ok(count) = from.read(&mut chunk) {
            let due = Instant::now() + delay;
            if sender.send((due, chunk[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
    });
}

fn forward(receiver: &Receiver<(Instant, Vec<u8>)>, mut to: TcpStream) {
    while let Ok((due, bytes)) = receiver.recv() {
        sleep(due.saturating_duration_since(Instant::now()));
        if bytes.is_empty() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if to.write_all(&bytes).is_err() {
            return;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
