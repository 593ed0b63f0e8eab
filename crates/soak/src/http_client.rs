//! One HTTP/1 connection at a time, kept as long as it lasts.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// A whole answer.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How a call ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallFault {
    /// No connection.
    Connect,
    /// The connection ended after the request was sent.
    Broken,
    /// No answer in time.
    Timeout,
}

/// A client of one address.
pub(crate) struct KeptClient {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl KeptClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    pub(crate) async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        patience: Duration,
    ) -> Result<Answer, CallFault> {
        let ended = timeout(patience, self.exchange(request)).await;
        if !matches!(ended, Ok(Ok(_))) {
            self.sender = None;
        }
        ended.unwrap_or(Err(CallFault::Timeout))
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Answer, CallFault> {
        let kept = self.sender.take().filter(|sender| !sender.is_closed());
        let mut sender = match kept {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        if sender.ready().await.is_err() {
            sender = self.connect().await?;
        }
        let sent = sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => CallFault::Connect,
            None => CallFault::Broken,
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallFault::Broken)?;
        let closes = head.headers.get("connection").is_some_and(|v| v == "close");
        self.sender = (!closes).then_some(sender);
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallFault> {
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|_| CallFault::Connect)?;
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| CallFault::Connect)?;
        tokio::spawn(async move {
            // The request that it carries reports the fault.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
