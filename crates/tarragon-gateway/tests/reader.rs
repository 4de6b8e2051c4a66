//! Calls to a store that falls silent, in virtual time.

use std::{
    future::{Future, pending},
    sync::{Arc, Mutex},
    time::Duration,
};

use tarragon_fleet::{build::history::BuildHistory, prelude::*, published::StoreRevision};
use tarragon_gateway::{
    platform::{OperatorChange, OperatorChanges, PublishedStore, StoreFault, StoreRead},
    reader::{OperatorWatch, StoreLink},
};
use tokio::time::{Instant, sleep, sleep_until};

/// How a store fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreTrouble {
    /// Calls that are open while it is away are never answered.
    Away { until: Duration },
    /// Connections that are open at this moment are silent from then on. New ones work.
    SilentConnections,
    /// It takes this long for each answer.
    Slow { answer: Duration },
}

/// A store with one change of the operators.
struct TroubledStore {
    began: Instant,
    trouble: StoreTrouble,
    from: Duration,
    change: Duration,
    /// When the idle connection was opened.
    idle_since: Mutex<Option<Instant>>,
    calls: Arc<Mutex<u32>>,
}

const ANSWER_TIME: Duration = Duration::from_millis(4);

impl TroubledStore {
    fn revision(&self) -> StoreRevision {
        if Instant::now() >= self.began + self.change { 11 } else { 10 }
    }

    /// Answers a call that waits until `wait` is over.
    async fn answer<F>(&self, wait: F) -> StoreRevision
    where
        F: Future<Output = ()>,
    {
        *self.calls.lock().unwrap() += 1;
        let started = Instant::now();
        let opened = self.idle_since.lock().unwrap().take().unwrap_or(started);
        let from = self.began + self.from;
        let answer = async {
            wait.await;
            match self.trouble {
                StoreTrouble::Slow { answer } => sleep(answer).await,
                _ => sleep(ANSWER_TIME).await,
            }
        };
        let lost = async {
            match self.trouble {
                StoreTrouble::Away { until } if started < self.began + until => {
                    sleep_until(from).await;
                }
                StoreTrouble::SilentConnections if opened < from => sleep_until(from).await,
                _ => pending().await,
            }
        };
        tokio::select! {
            biased;
            () = lost => pending().await,
            () = answer => {}
        }
        *self.idle_since.lock().unwrap() = Some(opened);
        self.revision()
    }

    fn state(&self, revision: StoreRevision) -> OperatorState {
        let configuration = FleetConfiguration { version: revision, ..Default::default() };
        OperatorState {
            revision,
            configuration: Some(Arc::new(configuration)),
            ..OperatorState::default()
        }
    }
}

impl PublishedStore for TroubledStore {
    async fn read_operator(&self) -> Result<StoreRead<OperatorState>, StoreFault> {
        let revision = self.answer(async {}).await;
        Ok(StoreRead { value: self.state(revision), skipped: 0 })
    }

    async fn watch_operator(
        &self,
        after: StoreRevision,
        limit: Duration,
    ) -> Result<StoreRead<OperatorChanges>, StoreFault> {
        let started = Instant::now();
        let change = self.began + self.change;
        let end =
            if after < 11 { change.max(started).min(started + limit) } else { started + limit };
        let revision = self.answer(sleep_until(end)).await;
        let changes = match self.state(revision).configuration {
            Some(configuration) if revision > after => {
                vec![OperatorChange::Configuration(configuration)]
            }
            _ => Vec::new(),
        };
        let changed = (!changes.is_empty()).then_some(revision);
        let value = OperatorChanges { changes, era: 0, revision: changed, next: revision };
        Ok(StoreRead { value, skipped: 0 })
    }

    fn close_idle(&self) {
        *self.idle_since.lock().unwrap() = None;
    }

    async fn read_targets(&self) -> Result<StoreRead<TargetListing>, StoreFault> {
        unreachable!("the watch reads no targets")
    }

    async fn read_build_history(&self) -> Result<BuildHistory, StoreFault> {
        unreachable!("the watch reads no history")
    }
}

struct SilenceCase {
    name: &'static str,
    trouble: StoreTrouble,
    from_ms: u64,
    change_ms: u64,
    /// Until when the change has to be known.
    known_ms: u64,
}

const fn away(from_ms: u64, until_ms: u64) -> SilenceCase {
    SilenceCase {
        name: "away",
        trouble: StoreTrouble::Away { until: Duration::from_millis(until_ms) },
        from_ms,
        change_ms: until_ms,
        known_ms: until_ms + 3_000,
    }
}

const fn silent(from_ms: u64, change_ms: u64) -> SilenceCase {
    let bound =
        if from_ms + 3_000 > change_ms + 2_000 { from_ms + 3_000 } else { change_ms + 2_000 };
    SilenceCase {
        name: "silent connections",
        trouble: StoreTrouble::SilentConnections,
        from_ms,
        change_ms,
        known_ms: bound,
    }
}

const SILENCES: &[SilenceCase] = &[
    away(100, 3_440),
    away(1_000, 3_340),
    away(2_000, 3_360),
    away(500, 7_000),
    away(100, 1_500),
    silent(40, 840),
    silent(1_000, 1_010),
    silent(1_500, 3_200),
    SilenceCase {
        name: "slow",
        trouble: StoreTrouble::Slow { answer: Duration::from_millis(200) },
        from_ms: 0,
        change_ms: 2_000,
        known_ms: 4_000,
    },
    SilenceCase {
        name: "slower than the patience",
        trouble: StoreTrouble::Slow { answer: Duration::from_millis(500) },
        from_ms: 0,
        change_ms: 2_000,
        known_ms: 4_000,
    },
];

/// Part of the bounds that is left for the way to other processes and for a processor that has no turn.
const MARGIN: Duration = Duration::from_millis(300);

/// Guards against a process that goes on waiting for an answer over a dead connection after the store is back, so
/// that a change comes into force after both bounds.
#[tokio::test(start_paused = true)]
async fn changes_are_known_in_time_after_a_silence() {
    for case in SILENCES {
        for _ in 0..20 {
            let store = TroubledStore {
                began: Instant::now(),
                trouble: case.trouble,
                from: Duration::from_millis(case.from_ms),
                change: Duration::from_millis(case.change_ms),
                idle_since: Mutex::default(),
                calls: Arc::default(),
            };
            let times = ReadTimes::of(&FreshnessBounds::default());
            let mut watch = OperatorWatch::default();
            let (mut link, mut version) = (StoreLink::Kept, 0);
            while version < 11 {
                link = match watch.next(&store, &times, link).await {
                    Ok(StoreRead { value: state, .. }) => {
                        version = state.map_or(version, |state| state.version());
                        StoreLink::Kept
                    }
                    Err(_) => {
                        sleep(times.max_retry_delay).await;
                        StoreLink::Lost
                    }
                };
            }
            let known = store.began.elapsed();
            let bound = Duration::from_millis(case.known_ms) - MARGIN;
            let (name, calls) = (case.name, *store.calls.lock().unwrap());
            assert!(known <= bound, "{name} from {} ms: known after {known:?}", case.from_ms);
            assert!(calls <= 20, "{name} from {} ms: {calls} calls", case.from_ms);
        }
    }
}
