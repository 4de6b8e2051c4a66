//! When this process calls the platform. Two readers per data centre watch; the others read only if no
//! peer has been heard for a while, within a small budget.

use std::time::{Duration, Instant};

use rand::Rng;
use serde::Serialize;

use crate::prelude::*;

/// Silence of all peers after which a process that is not a reader reads for itself.
pub const DIRECT_READ_AFTER_SILENCE: Duration = Duration::from_secs(10);

/// Least time between two calls of a process that is not a reader.
const MIN_BUDGETED_INTERVAL: Duration = Duration::from_secs(5);

/// Least time between two calls of one kind by a reader, so that a service that ends each watch at once
/// is not called in a tight loop.
const MIN_READER_INTERVAL: Duration = Duration::from_millis(200);

/// First and longest wait after a fault. The longest stays below the 14 s within which a configuration
/// must be in force, so that a service that returns is noticed in time.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// Time after which a call counts as lost: the longest watch (30 s) and a margin.
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
    /// All kinds, in the order of the lanes.
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

/// Calls of one kind.
#[derive(Debug, Clone, Default)]
struct ReadState {
    outstanding: Option<(PlatformRead, Instant)>,
    last_started: Option<Instant>,
    not_before: Option<Instant>,
    failures: u32,
    answered: bool,
}

/// What the reader needs to know of the rest of the process.
#[derive(Debug, Clone, Copy)]
pub struct ReaderInput {
    /// Whether this process is one of the data centre's two readers.
    pub is_reader: bool,
    /// Whether no peer has been heard for [`READ_AFTER_SILENCE`], or this process falls behind its peers.
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

/// Figures for the dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReaderDump {
    /// Calls begun.
    pub calls: u64,
    /// Calls without a usable answer.
    pub faults: u64,
}

/// Paces the calls of the platform.
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
    /// The calls to begin now.
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

    /// Kinds, the one called longest ago first, so that none takes the whole budget.
    fn kinds_by_last_call(&self) -> [ReadKind; 3] {
        let mut kinds = ReadKind::ALL;
        kinds.sort_by_key(|kind| self.states[*kind as usize].last_started);
        kinds
    }

    /// Asks for parts of the last manifest.
    pub fn request_parts(&mut self, names: Vec<String>) {
        self.wanted_parts = Some(names);
    }

    /// Asks to read the manifest again rather than to watch it, after parts that did not match.
    pub fn request_manifest(&mut self) {
        self.reread_manifest = true;
    }

    /// Notes the end of a call. An answer to a call that is not outstanding is late and is ignored by the
    /// pacing.
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

    /// Notes that an answer of this kind brought something new or showed that nothing is new.
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

    /// Delays the next call of a kind, after an answer that brought nothing.
    pub fn postpone<Random>(&mut self, kind: ReadKind, now: Instant, random: &mut Random)
    where
        Random: Rng,
    {
        let state = &mut self.states[kind as usize];
        state.failures += 1;
        state.not_before = Some(now + backoff(state.failures, random));
    }

    /// Figures for the dump.
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

    /// A watch that began now would only return the manifest whose parts are on their way.
    fn parts_pending(&self) -> bool {
        let state = &self.states[ReadKind::Parts as usize];
        self.wanted_parts.is_some() || state.outstanding.is_some()
    }

    /// Whether a call may begin. The first call of each kind of a new process, and a reader's calls, are
    /// free of the budget.
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

/// Doubles with each failure; between half of the value and all of it, so that the fleet's calls spread.
fn backoff<Random>(failures: u32, random: &mut Random) -> Duration
where
    Random: Rng,
{
    let (first, longest) = BACKOFF_RANGE;
    let wait = first.saturating_mul(1 << failures.saturating_sub(1).min(10)).min(longest);
    wait.mul_f64(random.random_range(0.5..1.0))
}

/// Between the value and half as much again.
fn jittered<Random>(interval: Duration, random: &mut Random) -> Duration
where
    Random: Rng,
{
    interval.mul_f64(random.random_range(1.0..1.5))
}
