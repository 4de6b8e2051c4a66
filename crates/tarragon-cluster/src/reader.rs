//! When this process calls the platform. Two readers per data centre watch; the others read only if no
//! peer has been heard for a while, within a small budget.

use std::time::{Duration, Instant};

use rand::Rng;
use serde::Serialize;

use crate::prelude::*;

/// Silence of all peers after which a process that is not a reader reads for itself.
pub const READ_AFTER_SILENCE: Duration = Duration::from_secs(10);

/// Least time between two calls of a process that is not a reader.
const BUDGET_INTERVAL: Duration = Duration::from_secs(5);

/// Least time between two calls of one kind by a reader, so that a service that ends each watch at once
/// is not called in a tight loop.
const READER_INTERVAL: Duration = Duration::from_millis(200);

/// First and longest wait after a fault. The longest stays below the 14 s within which a configuration
/// must be in force, so that a service that returns is noticed in time.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// Time after which a call counts as lost: the longest watch (30 s) and a margin.
const CALL_LOST_AFTER: Duration = Duration::from_secs(45);

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
struct ReadLane {
    outstanding: Option<(PlatformRead, Instant)>,
    begun: Option<Instant>,
    earliest: Option<Instant>,
    failures: u32,
    answered: bool,
}

/// What the reader needs to know of the rest of the process.
#[derive(Debug, Clone, Copy)]
pub struct ReaderView {
    /// Whether this process is one of the data centre's two readers.
    pub is_reader: bool,
    /// Whether no peer has been heard for [`READ_AFTER_SILENCE`], or this process falls behind its peers.
    pub reads_alone: bool,
    /// Version of the configuration to watch from.
    pub configuration: ConfigurationVersion,
    /// Version of the VM list to watch from.
    pub vm_list: u64,
}

impl ReaderView {
    fn has_nothing(&self, kind: ReadKind) -> bool {
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
    lanes: [ReadLane; 3],
    wanted_parts: Option<Vec<String>>,
    reread_manifest: bool,
    budget_at: Option<Instant>,
    calls: u64,
    faults: u64,
}

impl PlatformReader {
    /// The calls to begin now.
    pub fn due<Random>(
        &mut self,
        now: Instant,
        view: &ReaderView,
        random: &mut Random,
    ) -> Vec<PlatformRead>
    where
        Random: Rng,
    {
        let mut reads = Vec::new();
        for kind in self.by_last_call() {
            if let Some(read) = self.wanted(kind, view)
                && self.may_call(kind, now, view, random)
            {
                self.begin(kind, read.clone(), now);
                reads.push(read);
            }
        }
        reads
    }

    /// Kinds, the one called longest ago first, so that none takes the whole budget.
    fn by_last_call(&self) -> [ReadKind; 3] {
        let mut kinds = ReadKind::ALL;
        kinds.sort_by_key(|kind| self.lanes[*kind as usize].begun);
        kinds
    }

    /// Asks for parts of the last manifest.
    pub fn want_parts(&mut self, names: Vec<String>) {
        self.wanted_parts = Some(names);
    }

    /// Asks to read the manifest again rather than to watch it, after parts that did not match.
    pub fn want_manifest(&mut self) {
        self.reread_manifest = true;
    }

    /// Notes the end of a call. An answer to a call that is not outstanding is late and is ignored by the
    /// pacing.
    pub fn ended<Random>(
        &mut self,
        read: &PlatformRead,
        fault: Option<PlatformFault>,
        now: Instant,
        random: &mut Random,
    ) where
        Random: Rng,
    {
        let lane = &mut self.lanes[ReadKind::of(read) as usize];
        if lane.outstanding.as_ref().is_none_or(|(outstanding, _)| outstanding != read) {
            return;
        }
        lane.outstanding = None;
        if fault.is_some() {
            self.faults += 1;
            lane.failures += 1;
            lane.earliest = Some(now + back_off(lane.failures, random));
            if let PlatformRead::Parts(names) = read {
                self.wanted_parts.get_or_insert_with(|| names.clone());
            }
            return;
        }
        lane.answered = true;
    }

    /// Notes that an answer of this kind brought something new or showed that nothing is new.
    pub fn useful(&mut self, kind: ReadKind) {
        self.lanes[kind as usize].failures = 0;
    }

    /// Whether the manifest has been read or its read has failed at least once.
    pub fn manifest_asked(&self) -> bool {
        let lane = &self.lanes[ReadKind::Manifest as usize];
        lane.answered || lane.failures > 0
    }

    /// Whether the VM list has been read or its read has failed at least once.
    pub fn vm_list_asked(&self) -> bool {
        let lane = &self.lanes[ReadKind::VmList as usize];
        lane.answered || lane.failures > 0
    }

    /// Delays the next call of a kind, after an answer that brought nothing.
    pub fn postpone<Random>(&mut self, kind: ReadKind, now: Instant, random: &mut Random)
    where
        Random: Rng,
    {
        let lane = &mut self.lanes[kind as usize];
        lane.failures += 1;
        lane.earliest = Some(now + back_off(lane.failures, random));
    }

    /// Figures for the dump.
    pub fn dump(&self) -> ReaderDump {
        ReaderDump { calls: self.calls, faults: self.faults }
    }

    fn wanted(&self, kind: ReadKind, view: &ReaderView) -> Option<PlatformRead> {
        let lane = &self.lanes[kind as usize];
        let first = !lane.answered && (lane.failures == 0 || view.has_nothing(kind));
        match kind {
            ReadKind::Parts => self.wanted_parts.clone().map(PlatformRead::Parts),
            ReadKind::Manifest if self.parts_pending() => None,
            ReadKind::Manifest if first || self.reread_manifest || view.reads_alone => {
                Some(PlatformRead::Manifest)
            }
            ReadKind::VmList if first || view.reads_alone => Some(PlatformRead::VmList),
            ReadKind::Manifest if view.is_reader => {
                Some(PlatformRead::WatchManifest(view.configuration))
            }
            ReadKind::VmList if view.is_reader => Some(PlatformRead::WatchVmList(view.vm_list)),
            _ => None,
        }
    }

    /// A watch that began now would only return the manifest whose parts are on their way.
    fn parts_pending(&self) -> bool {
        let lane = &self.lanes[ReadKind::Parts as usize];
        self.wanted_parts.is_some() || lane.outstanding.is_some()
    }

    /// Whether a call may begin. The first call of each kind of a new process, and a reader's calls, are
    /// free of the budget.
    fn may_call<Random>(
        &mut self,
        kind: ReadKind,
        now: Instant,
        view: &ReaderView,
        random: &mut Random,
    ) -> bool
    where
        Random: Rng,
    {
        let lane = &mut self.lanes[kind as usize];
        if let Some((_, since)) = &lane.outstanding {
            if now.saturating_duration_since(*since) < CALL_LOST_AFTER {
                return false;
            }
            lane.outstanding = None;
        }
        if lane.earliest.is_some_and(|earliest| now < earliest) {
            return false;
        }
        let starting = !lane.answered && lane.failures == 0;
        if view.is_reader || starting {
            return true;
        }
        if self.budget_at.is_some_and(|at| now < at) {
            return false;
        }
        self.budget_at = Some(now + jittered(BUDGET_INTERVAL, random));
        true
    }

    fn begin(&mut self, kind: ReadKind, read: PlatformRead, now: Instant) {
        match kind {
            ReadKind::Parts => self.wanted_parts = None,
            ReadKind::Manifest => self.reread_manifest = false,
            ReadKind::VmList => {}
        }
        let lane = &mut self.lanes[kind as usize];
        lane.outstanding = Some((read, now));
        lane.begun = Some(now);
        lane.earliest = Some(now + READER_INTERVAL);
        self.calls += 1;
    }
}

/// Doubles with each failure; between half of the value and all of it, so that the fleet's calls spread.
fn back_off<Random>(failures: u32, random: &mut Random) -> Duration
where
    Random: Rng,
{
    let (first, longest) = BACK_OFF;
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
