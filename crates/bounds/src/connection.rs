//! The connections of a listener, of which the one without progress for the longest time makes way.
//!
//! Load pattern: many callers open connections and send nothing, or a part of a request.

use std::{
    collections::BTreeMap,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use fulmarweir_base::lock;
use rustix::process::{Resource, getrlimit};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::sync::CancellationToken;

use crate::memory::{
    LITTLE_BYTES, MemoryBudget, MemoryTransfer, RegisteredTransfer, TransferChannel,
};

/// Descriptors that a process may open if the system sets no limit.
const DESCRIPTORS_DEFAULT: u64 = 4_096;
/// Time without progress after which an answer that is not read is given up, in milliseconds.
const UNREAD_MAX_MS: u64 = 30_000;

/// Returns how many descriptors this process may open.
#[must_use]
pub fn descriptors_max() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    usize::try_from(limit.unwrap_or(DESCRIPTORS_DEFAULT)).unwrap_or(usize::MAX)
}

/// The open connections of one listener. Clones share it.
#[derive(Clone, Debug)]
pub struct ConnectionTable(Arc<TableState>);

#[derive(Debug)]
struct TableState {
    connections_max: usize,
    created_at: Instant,
    next_number: AtomicU64,
    /// Connections that were closed to make room for others.
    closed_count: AtomicU64,
    connections: Mutex<BTreeMap<u64, Arc<TrackedConnection>>>,
}

/// Memory of answers that wait to be written.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    /// Memory of all answers of some listeners.
    pub answers: MemoryBudget,
    /// Memory that the answers hold already, if they are the replies of others.
    pub replies: Option<MemoryBudget>,
}

/// An accepted connection.
#[derive(Debug)]
pub struct TrackedConnection {
    created_at: Instant,
    /// Time of the last byte received or sent, in microseconds since `created_at` of the table.
    progress_us: AtomicU64,
    running: AtomicUsize,
    sending: AtomicUsize,
    sent: Arc<AtomicU64>,
    closed: CancellationToken,
}

impl ConnectionTable {
    /// Creates a table for at most `connections_max` connections.
    #[must_use]
    pub fn new(connections_max: usize) -> Self {
        Self(Arc::new(TableState {
            connections_max,
            created_at: Instant::now(),
            next_number: AtomicU64::new(0),
            closed_count: AtomicU64::new(0),
            connections: Mutex::default(),
        }))
    }

    /// Whether a further connection takes the place of another one.
    #[must_use]
    pub fn is_full(&self) -> bool {
        lock(&self.0.connections).len() >= self.0.connections_max
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        lock(&self.0.connections).len()
    }

    /// Returns how many connections had to be closed, or were not admitted, since the last call.
    #[must_use]
    pub fn take_closed_count(&self) -> u64 {
        self.0.closed_count.swap(0, Relaxed)
    }

    /// Adds a connection. If the table is full, the connection that has made no progress for the longest time
    /// is closed, unless a request of it runs. Returns `None` if there is no such connection.
    #[must_use]
    pub fn admit(&self, stream: TcpStream) -> Option<TrackedStream> {
        let state = &self.0;
        let connection = Arc::new(TrackedConnection::new(state.created_at));
        let mut connections = lock(&state.connections);
        if connections.len() >= state.connections_max {
            let idle = connections.iter().filter(|(_, open)| !open.is_running());
            let longest_idle = idle.min_by_key(|(_, open)| open.progress_us.load(Relaxed));
            let Some((number, longest_idle)) = longest_idle else {
                state.closed_count.fetch_add(1, Relaxed);
                return None;
            };
            longest_idle.closed.cancel();
            let number = *number;
            connections.remove(&number);
        }
        let number = state.next_number.fetch_add(1, Relaxed);
        connections.insert(number, Arc::clone(&connection));
        drop(connections);
        Some(TrackedStream {
            stream,
            connection,
            number,
            table: self.clone(),
        })
    }

    /// Closes the connections whose answers have not been read for a long time.
    pub fn close_unread(&self) {
        let now = self.0.created_at.elapsed();
        let is_stuck = |open: &TrackedConnection| {
            let progress = Duration::from_micros(open.progress_us.load(Relaxed));
            let waited = now.saturating_sub(progress);
            open.sending.load(Relaxed) > 0 && waited >= Duration::from_millis(UNREAD_MAX_MS)
        };
        let connections = lock(&self.0.connections);
        let stuck = connections.values().filter(|open| is_stuck(open));
        stuck.for_each(|open| open.closed.cancel());
    }
}

impl TrackedConnection {
    fn new(created_at: Instant) -> Self {
        let connection = Self {
            created_at,
            progress_us: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            sending: AtomicUsize::new(0),
            sent: Arc::default(),
            closed: CancellationToken::new(),
        };
        connection.note_progress();
        connection
    }

    fn note_progress(&self) {
        let elapsed = self.created_at.elapsed().as_micros();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        self.progress_us.store(elapsed, Relaxed);
    }

    fn is_running(&self) -> bool {
        self.running.load(Relaxed) > 0
    }

    /// Marks a request of this connection as running until the guard is dropped. The connection does not make
    /// way for others meanwhile.
    #[must_use]
    pub fn begin_run(self: &Arc<Self>) -> RunGuard {
        self.running.fetch_add(1, Relaxed);
        RunGuard(Arc::clone(self))
    }

    /// Returns the token that is cancelled when the connection must be closed.
    #[must_use]
    pub const fn closed(&self) -> &CancellationToken {
        &self.closed
    }

    /// Returns an answer that counts in `memory` until it was written to this connection. If it is
    /// read slowly and others need the memory, the connection is closed.
    #[must_use]
    pub fn track_answer(self: &Arc<Self>, answer: Bytes, memory: &AnswerMemory) -> Bytes {
        if answer.len() <= LITTLE_BYTES {
            return answer;
        }
        let channel = TransferChannel {
            moved: Arc::clone(&self.sent),
            cancelled: self.closed.clone(),
        };
        let replies = memory.replies.as_ref();
        let watch = replies.map(|replies| replies.watch(channel.clone(), answer.len()));
        let mut transfer = memory.answers.start_transfer_on(channel);
        transfer.grow_beyond_limit(answer.len());
        self.sending.fetch_add(1, Relaxed);
        Bytes::from_owner(TrackedAnswer {
            answer,
            _transfer: transfer,
            _watch: watch,
            connection: Arc::clone(self),
        })
    }
}

/// Marks a request of a connection as running.
#[derive(Debug)]
pub struct RunGuard(Arc<TrackedConnection>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Relaxed);
    }
}

struct TrackedAnswer {
    answer: Bytes,
    _transfer: MemoryTransfer,
    _watch: Option<RegisteredTransfer>,
    connection: Arc<TrackedConnection>,
}

impl AsRef<[u8]> for TrackedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.answer
    }
}

impl Drop for TrackedAnswer {
    fn drop(&mut self) {
        self.connection.sending.fetch_sub(1, Relaxed);
    }
}

/// A connection that notes its progress, and leaves its table when it is dropped.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    connection: Arc<TrackedConnection>,
    number: u64,
    table: ConnectionTable,
}

impl TrackedStream {
    /// Returns the connection of this stream.
    #[must_use]
    pub fn connection(&self) -> Arc<TrackedConnection> {
        Arc::clone(&self.connection)
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        if self.connection.closed.is_cancelled() {
            self.table.0.closed_count.fetch_add(1, Relaxed);
        }
        lock(&self.table.0.connections).remove(&self.number);
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        this.connection.note_progress();
        Poll::Ready(Ok(()))
    }
}

impl TrackedStream {
    fn note_sent(&self, sent: usize) {
        let sent = u64::try_from(sent).unwrap_or(u64::MAX);
        self.connection.sent.fetch_add(sent, Relaxed);
        self.connection.note_progress();
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let sent = ready!(Pin::new(&mut this.stream).poll_write(cx, buf))?;
        this.note_sent(sent);
        Poll::Ready(Ok(sent))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let sent = ready!(Pin::new(&mut this.stream).poll_write_vectored(cx, bufs))?;
        this.note_sent(sent);
        Poll::Ready(Ok(sent))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
