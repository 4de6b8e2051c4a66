//! Decides when this process calls the platform. Two readers in each data centre watch it; the other
//! processes read only if no digest has arrived for a while or they fall behind, at a limited rate.

use std::time::{Duration, Instant};

use rand::Rng;
use serde::Serialize;

use crate::prelude::*;

/// Time without any digest after which a process that is not a reader calls the platform itself.
pub const DIRECT_READ_AFTER_SILENCE: Duration = Duration::from_secs(10);

/// Least time between two calls by a process that is not a reader.
const MIN_BUDGETED_INTERVAL: Duration = Duration::from_secs(5);

/// Least time between two calls of one kind by a reader, so that a service that ends each watch
/// immediately is not called in a tight loop.
const MIN_READER_INTERVAL: Duration = Duration::from_millis(200);

/// First and longest wait after a failure. The longest is below the 14 s within which a configuration
/// must become active, so that the return of the service is noticed in time.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// Time after which an unanswered call counts as lost: the longest watch (30 s) and a margin.
const CALL_TIMEOUT: Duration = Duration::from_secs(45);

/// Kinds of calls. At most one of each is outstanding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadKind {
    /// Manifest, read or watched.
    Manifest,
    /// Parts of a configuration.
    Parts,
    /// VM list, read or watched.
    VmList,
}

impl ReadKind {
    /// All kinds, in the order of `PlatformReader::states`.
    const ALL: [ReadKind; 3] = [ReadKind::Manifest, ReadKind::Parts, ReadKind::VmList];

    /// Kind of a call.
    pub fn of(read: &PlatformRead) -> ReadKind {
        match read {
            PlatformRead::Manifest | PlatformRead::WatchManifest(_) => ReadKind::Manifest,
            PlatformRead::Parts(_) => ReadKind::Parts,
            PlatformRead::VmList | PlatformRead::WatchVmList(_) => ReadKind::VmList,
        }
    }
}

/// State of the calls of one kind.
#[derive(Debug, Clone, Default)]
struct ReadState {
    outstanding: Option<(PlatformRead, Instant)>,
    last_started: Option<Instant>,
    not_before: Option<Instant>,
    failures: u32,
    answered: bool,
}

/// State of the rest of the process that the decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct ReaderInput {
    /// Whether this process is one of the data centre's two readers.
    pub is_reader: bool,
    /// Whether no digest has arrived for [`DIRECT_READ_AFTER_SILENCE`], or this process is behind its
    /// peers.
    pub reads_without_peers: bool,
    /// Version of the configuration to watch from.
    pub configuration: ConfigurationVersion,
    /// Version of the VM list to watch from.
    pub vm_list: u64,
}

impl ReaderInput {
    fn is_missing(&self, kind: ReadKind) -> bool {
        match kind {
            ReadKind::Manifest | ReadKind::Parts => self.configuration == 0,
            ReadKind::VmList => self.vm_list == 0,
        }
    }
}

/// Platform calls in the admin dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReaderDump {
    /// Number of calls started.
    pub calls: u64,
    /// Number of calls without a usable answer.
    pub faults: u64,
}

/// Schedules the calls to the platform.
#[derive(Debug, Default)]
pub struct PlatformReader {
    states: [ReadState; 3],
    wanted_parts: Option<Vec<String>>,
    reread_manifest: bool,
    next_budgeted_call: Option<Instant>,
    calls: u64,
    faults: u64,
}

impl PlatformReader {
    /// Starts the calls that are due and returns them.
    pub fn due_calls<Random>(
        &mut self,
        now: Instant,
        view: &ReaderInput,
        random: &mut Random,
    ) -> Vec<PlatformRead>
    where
        Random: Rng,
    {
        let mut reads = Vec::new();
        for kind in self.kinds_by_last_call() {
            if let Some(read) = self.next_read(kind, view)
                && self.may_call(kind, now, view, random)
            {
                self.start_call(kind, read.clone(), now);
                reads.push(read);
            }
        }
        reads
    }

    /// All kinds, the one called longest ago first, so that none uses up the rate limit for itself.
    fn kinds_by_last_call(&self) -> [ReadKind; 3] {
        let mut kinds = ReadKind::ALL;
        kinds.sort_by_key(|kind| self.states[*kind as usize].last_started);
        kinds
    }

    /// Requests parts of the last manifest.
    pub fn request_parts(&mut self, names: Vec<String>) {
        self.wanted_parts = Some(names);
    }

    /// Requests that the manifest be read again rather than watched, after parts that did not match it.
    pub fn request_manifest(&mut self) {
        self.reread_manifest = true;
    }

    /// Records the end of a call. A late answer, to a call that is no longer outstanding, changes nothing
    /// here.
    pub fn record_end<Random>(
        &mut self,
        read: &PlatformRead,
        fault: Option<PlatformFault>,
        now: Instant,
        random: &mut Random,
    ) where
        Random: Rng,
    {
        let state = &mut self.states[ReadKind::of(read) as usize];
        if state.outstanding.as_ref().is_none_or(|(outstanding, _)| outstanding != read) {
            return;
        }
        state.outstanding = None;
        if fault.is_some() {
            self.faults += 1;
            state.failures += 1;
            state.not_before = Some(now + backoff(state.failures, random));
            if let PlatformRead::Parts(names) = read {
                self.wanted_parts.get_or_insert_with(|| names.clone());
            }
            return;
        }
        state.answered = true;
    }

    /// Resets the back-off of a kind, after an answer with something new or a proper answer that nothing
    /// is new.
    pub fn reset_failures(&mut self, kind: ReadKind) {
        self.states[kind as usize].failures = 0;
    }

    /// Whether the manifest has been read or its read has failed at least once.
    pub fn manifest_attempted(&self) -> bool {
        let state = &self.states[ReadKind::Manifest as usize];
        state.answered || state.failures > 0
    }

    /// Whether the VM list has been read or its read has failed at least once.
    pub fn vm_list_attempted(&self) -> bool {
        let state = &self.states[ReadKind::VmList as usize];
        state.answered || state.failures > 0
    }

    /// Delays the next call of a kind, after an answer without anything usable.
    pub fn postpone<Random>(&mut self, kind: ReadKind, now: Instant, random: &mut Random)
    where
        Random: Rng,
    {
        let state = &mut self.states[kind as usize];
        state.failures += 1;
        state.not_before = Some(now + backoff(state.failures, random));
    }

    /// Platform calls in the admin dump.
    pub fn dump(&self) -> ReaderDump {
        ReaderDump { calls: self.calls, faults: self.faults }
    }

    fn next_read(&self, kind: ReadKind, view: &ReaderInput) -> Option<PlatformRead> {
        let state = &self.states[kind as usize];
        let first = !state.answered && (state.failures == 0 || view.is_missing(kind));
        match kind {
            ReadKind::Parts => self.wanted_parts.clone().map(PlatformRead::Parts),
            ReadKind::Manifest if self.parts_pending() => None,
            ReadKind::Manifest if first || self.reread_manifest || view.reads_without_peers => {
                Some(PlatformRead::Manifest)
            }
            ReadKind::VmList if first || view.reads_without_peers => Some(PlatformRead::VmList),
            ReadKind::Manifest if view.is_reader => {
                Some(PlatformRead::WatchManifest(view.configuration))
            }
            ReadKind::VmList if view.is_reader => Some(PlatformRead::WatchVmList(view.vm_list)),
            _ => None,
        }
    }

    /// Whether parts are still to be fetched. A watch started now would only return the manifest they
    /// belong to.
    fn parts_pending(&self) -> bool {
        let state = &self.states[ReadKind::Parts as usize];
        self.wanted_parts.is_some() || state.outstanding.is_some()
    }

    /// Whether a call may start. The rate limit does not apply to a new process's first call of each kind
    /// and to a reader's calls.
    fn may_call<Random>(
        &mut self,
        kind: ReadKind,
        now: Instant,
        view: &ReaderInput,
        random: &mut Random,
    ) -> bool
    where
        Random: Rng,
    {
        let state = &mut self.states[kind as usize];
        if let Some((_, since)) = &state.outstanding {
            if now.saturating_duration_since(*since) < CALL_TIMEOUT {
                return false;
            }
            state.outstanding = None;
        }
        if state.not_before.is_some_and(|not_before| now < not_before) {
            return false;
        }
        let starting = !state.answered && state.failures == 0;
        if view.is_reader || starting {
            return true;
        }
        if self.next_budgeted_call.is_some_and(|at| now < at) {
            return false;
        }
        self.next_budgeted_call = Some(now + jittered(MIN_BUDGETED_INTERVAL, random));
        true
    }

    fn start_call(&mut self, kind: ReadKind, read: PlatformRead, now: Instant) {
        match kind {
            ReadKind::Parts => self.wanted_parts = None,
            ReadKind::Manifest => self.reread_manifest = false,
            ReadKind::VmList => {}
        }
        let state = &mut self.states[kind as usize];
        state.outstanding = Some((read, now));
        state.last_started = Some(now);
        state.not_before = Some(now + MIN_READER_INTERVAL);
        self.calls += 1;
    }
}

/// Wait after a failure: doubles each time, then a random value between half of it and all of it, so that
/// the calls of many processes spread out.
fn backoff<Random>(failures: u32, random: &mut Random) -> Duration
where
    Random: Rng,
{
    let (first, longest) = BACKOFF_RANGE;
    let wait = first.saturating_mul(1 << failures.saturating_sub(1).min(10)).min(longest);
    wait.mul_f64(random.random_range(0.5..1.0))
}

/// A random time between the interval and 1.5 times the interval.
fn jittered<Random>(interval: Duration, random: &mut Random) -> Duration
where
    Random: Rng,
{
    interval.mul_f64(random.random_range(1.0..1.5))
}
