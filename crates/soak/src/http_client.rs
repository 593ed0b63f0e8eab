//! An HTTP/1 client that keeps one connection open and reconnects when it ends.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// A complete response.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallError {
    /// No connection, or the request was not sent on it.
    Connect,
    /// The connection ended after the request was sent.
    Broken,
    /// No answer within the time limit.
    Timeout,
}

/// A client of one address with at most one connection.
pub(crate) struct KeepAliveClient {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl KeepAliveClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    pub(crate) async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Answer, CallError> {
        let result = timeout(time_limit, self.exchange(request)).await;
        if !matches!(result, Ok(Ok(_))) {
            self.sender = None;
        }
        result.unwrap_or(Err(CallError::Timeout))
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        let open = self.sender.take().filter(|sender| !sender.is_closed());
        let mut sender = match open {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        if sender.ready().await.is_err() {
            sender = self.connect().await?;
        }
        let sent = sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => CallError::Connect,
            None => CallError::Broken,
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallError::Broken)?;
        let closes = head.headers.get("connection").is_some_and(|v| v == "close");
        self.sender = (!closes).then_some(sender);
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|_| CallError::Connect)?;
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| CallError::Connect)?;
        tokio::spawn(async move {
            // The request in flight on the connection reports the error.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
