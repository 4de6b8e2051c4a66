//! The open connections of callers: how many a process may have, and which idle ones it closes when they run low.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use indexmap::IndexMap;
use tarragon_fleet::prelude::CallerLimits;
pub use tarragon_server::caller::listener::ConnectionBounds;
use tarragon_server::guarded::Guarded;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::connection::{ConnectionWatch, IdleState};

/// Time beyond which a caller no longer sends, after the one that it may leave a connection idle.
const SENDING_MARGIN: Duration = Duration::from_millis(500);

/// How long connections must be idle before they may be closed: callers may be sending on those that are idle for
/// less.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleBounds {
    /// For connections on which no request has come.
    pub unused: Duration,
    /// For connections that have been used.
    pub used: Duration,
}

impl IdleBounds {
    /// Bounds that follow from the limits that callers keep to. They send the head of the first request within the
    /// header time, and use connections again that have been idle for up to four fifths of the idle time.
    pub fn of(limits: &CallerLimits) -> IdleBounds {
        IdleBounds {
            unused: limits.header_time + SENDING_MARGIN,
            used: limits.idle_time * 4 / 5 + SENDING_MARGIN,
        }
    }

    fn may_close(&self, idle: IdleState, now: Instant) -> bool {
        let least = if idle.was_used { self.used } else { self.unused };
        now.saturating_duration_since(idle.since) >= least
    }
}

/// Chooses the connections to close, longest idle first, so that at most `target` of the `open` ones are left.
pub fn choose_idle<I>(
    idle: I,
    (open, target): (usize, usize),
    bounds: IdleBounds,
    now: Instant,
) -> Vec<u64>
where
    I: IntoIterator<Item = (u64, IdleState)>,
{
    let closable = idle.into_iter().filter(|(_, idle)| bounds.may_close(*idle, now));
    let mut closable = Vec::from_iter(closable);
    closable.sort_by_key(|(_, idle)| idle.since);
    closable.iter().take(open.saturating_sub(target)).map(|(id, _)| *id).collect()
}

#[derive(Debug)]
struct ConnectionEntry {
    watch: ConnectionWatch,
    close: CancellationToken,
}

#[derive(Debug, Default)]
struct TableState {
    next: u64,
    open: IndexMap<u64, ConnectionEntry>,
}

/// The open connections of callers.
#[derive(Debug)]
pub struct ConnectionTable {
    bounds: ConnectionBounds,
    state: Guarded<TableState>,
    low_on_connections: AtomicBool,
}

impl ConnectionTable {
    /// A table without connections.
    pub fn new(bounds: ConnectionBounds) -> Arc<ConnectionTable> {
        let low_on_connections = AtomicBool::new(false);
        Arc::new(ConnectionTable { bounds, state: Guarded::default(), low_on_connections })
    }

    /// Bounds.
    pub fn bounds(&self) -> ConnectionBounds {
        self.bounds
    }

    /// Adds a connection until the returned entry is dropped.
    pub fn open(self: &Arc<Self>, watch: ConnectionWatch) -> OpenConnection {
        let close = CancellationToken::new();
        let entry = ConnectionEntry { watch, close: close.clone() };
        let (id, open) = self.state.with(|state| {
            let id = state.next;
            state.next += 1;
            state.open.insert(id, entry);
            (id, state.open.len())
        });
        self.note_count(open);
        OpenConnection { table: self.clone(), id, close }
    }

    /// Whether so many connections are open that the load balancer should send no more.
    pub fn is_low(&self) -> bool {
        self.low_on_connections.load(Ordering::Relaxed)
    }

    /// Closes idle connections if few are left. Returns how many.
    pub fn close_idle(&self, idle_bounds: IdleBounds, now: Instant) -> usize {
        if !self.is_low() {
            return 0;
        }
        self.state.with(|state| {
            let counts = (state.open.len(), self.bounds.low.saturating_sub(1));
            let idle = state.open.iter();
            let idle = idle.filter_map(|(id, entry)| Some((*id, entry.watch.idle_state()?)));
            let chosen = choose_idle(idle, counts, idle_bounds, now);
            let entries = chosen.iter().filter_map(|id| state.open.get(id));
            entries.for_each(|entry| entry.close.cancel());
            chosen.len()
        })
    }

    fn note_count(&self, open: usize) {
        let was_low = self.is_low();
        let is_low = open >= self.bounds.high || (was_low && open >= self.bounds.low);
        if is_low == was_low {
            return;
        }
        self.low_on_connections.store(is_low, Ordering::Relaxed);
        if is_low {
            tracing::warn!(open, most = self.bounds.most, "connections run low; not ready");
        } else {
            tracing::info!(open, most = self.bounds.most, "enough connections are free again");
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub struct OpenConnection {
    table: Arc<ConnectionTable>,
    id: u64,
    /// Cancelled to close the connection because it is idle.
    pub close: CancellationToken,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = self.table.state.with(|state| {
            state.open.swap_remove(&self.id);
            state.open.len()
        });
        self.table.note_count(open);
    }
}
