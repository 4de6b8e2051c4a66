//! Decides which causes explain the known crashes.
//!
//! All requests that ran at a target break when it crashes, and each has several parts, so that most causes of
//! a crash are bystanders. Causes are assessed in the order of how likely they are: first those of which no
//! finish is known, then those with more crashes, then parts further back in the prompt, which fewer requests
//! share. A cause that explains several crashes takes them from all causes after it.

use std::{
    cmp::Reverse,
    ops::RangeInclusive,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use tarragon_protocol::peer::SuspectCause;

use crate::suspect::{CrashId, SuspectState, SuspectTable, Suspicion, SuspicionChange};

/// Number of crashes after which a request is convicted and refused.
const CONVICTING_CRASHES: usize = 2;
/// Number of crashes after which a prompt part is, if no request with it is known to have finished.
const CONVICTING_PART_CRASHES: usize = 3;
/// Number of crashes after which a prompt part is, if requests with it have finished before them.
const CONVICTING_FINISHED_CRASHES: usize = 5;
/// Number of crashes from which on a cause explains them in place of others.
const EXPLAINING_CRASHES: usize = 2;

/// With more causes than this, they are assessed at intervals instead of after each change: each time takes about
/// a millisecond.
const MAX_IMMEDIATE_ENTRIES: usize = 64;
const MIN_ASSESS_INTERVAL: Duration = Duration::from_millis(50);

/// Crashes that are no further apart than this may have one cause outside of the requests.
const MOMENT: Duration = Duration::from_millis(150);

/// Time after the last crash until a part is tried again, if all of its crashes happened at one moment.
const MOMENT_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Time after the last crash until a part is tried again. It grows by a factor with each crash at another
/// moment, since a part that crashes targets costs one with each trial.
const TRIAL_DELAY: Duration = Duration::from_secs(8);
const TRIAL_FACTOR: u32 = 4;
/// Number of moments up to which the delay doesn't grow, and from which on it doesn't grow any more.
const TRIAL_MOMENTS: (usize, usize) = (2, 5);

/// Crashes that count against a cause and that no other cause explains.
#[derive(Debug, Default)]
struct BlameCount {
    /// Crashes. Those of one moment count as one if as many targets without the cause crashed then, too.
    crashes: usize,
    /// Confirmed ones, counted in the same way.
    confirmed: usize,
    /// Moments at which they happened.
    moments: usize,
    last: Option<Instant>,
}

/// Times of all known crashes, and the same in ascending order.
#[derive(Debug, Default)]
struct CrashTimeline {
    times: IndexMap<CrashId, Instant>,
    sorted: Vec<Instant>,
}

impl CrashTimeline {
    /// Whether a known crash happened about a moment.
    fn is_about(&self, crash: &CrashId, moment: &RangeInclusive<Instant>) -> bool {
        self.times.get(crash).is_some_and(|broken| moment.contains(broken))
    }

    /// Number of crashes about a moment.
    fn count(&self, moment: &RangeInclusive<Instant>) -> usize {
        let from = self.sorted.partition_point(|broken| broken < moment.start());
        let to = self.sorted.partition_point(|broken| broken <= moment.end());
        to - from
    }
}

impl SuspectTable {
    /// Assesses all causes again if anything has changed or `due` is set. Returns the changes.
    pub fn assess_changes(&mut self, due: bool, now: Instant) -> Vec<SuspicionChange> {
        let is_large = self.entries.len() > MAX_IMMEDIATE_ENTRIES;
        let is_recent = self
            .assessed
            .is_some_and(|last| now.saturating_duration_since(last) < MIN_ASSESS_INTERVAL);
        let is_due = due && !self.entries.is_empty();
        if !is_due && (!self.changed || is_large && is_recent) {
            return Vec::new();
        }
        self.assessed = Some(now);
        let before: Vec<Suspicion> = self.entries.values().map(|state| state.suspicion).collect();
        self.assess(now);
        let changes = self.entries.iter_mut().zip(before).filter_map(|((cause, state), before)| {
            let after = state.suspicion;
            if after == before {
                return None;
            }
            if after >= Suspicion::Held {
                state.learned_at = now;
            }
            Some(SuspicionChange { before, after, entry: state.entry(*cause, now) })
        });
        changes.collect()
    }

    pub(super) fn assess(&mut self, now: Instant) {
        self.changed = false;
        let timeline = self.timeline();
        let mut order: Vec<(bool, Reverse<usize>, Reverse<u16>, usize)> = Vec::new();
        for (index, (cause, state)) in self.entries.iter().enumerate() {
            let count = state.crashes.iter().filter(|record| state.counts(record, now)).count();
            order.push((
                is_known_sound(*cause, state),
                Reverse(count),
                Reverse(state.depth),
                index,
            ));
        }
        order.sort_unstable();
        let mut explained: IndexSet<CrashId> = IndexSet::new();
        for (is_sound, Reverse(count), _, index) in order {
            let Some((cause, state)) = self.entries.get_index_mut(index) else { continue };
            if count == 0 {
                state.settle(*cause, is_sound, &BlameCount::default());
                continue;
            }
            let blame = state.blame(&explained, &timeline, now);
            state.settle(*cause, is_sound, &blame);
            let least = if is_sound { CONVICTING_FINISHED_CRASHES } else { EXPLAINING_CRASHES };
            if blame.crashes >= least {
                let counting = state.crashes.iter().filter(|record| state.counts(record, now));
                explained.extend(counting.map(|record| record.crash.clone()));
            }
        }
    }

    fn timeline(&self) -> CrashTimeline {
        let mut times: IndexMap<CrashId, Instant> = IndexMap::new();
        for record in self.entries.values().flat_map(|state| &state.crashes) {
            let known = times.entry(record.crash.clone()).or_insert(record.broken);
            *known = record.broken.min(*known);
        }
        let mut sorted: Vec<Instant> = times.values().copied().collect();
        sorted.sort_unstable();
        CrashTimeline { times, sorted }
    }
}

/// Whether requests with this part are known to have finished. A single request isn't sound by that: its
/// crashes before the finish don't count anyway.
fn is_known_sound(cause: SuspectCause, state: &SuspectState) -> bool {
    matches!(cause, SuspectCause::Part(_)) && state.finished.is_some()
}

impl SuspectState {
    /// Counts the crashes against this cause that are not explained by another one.
    fn blame(
        &self,
        explained: &IndexSet<CrashId>,
        timeline: &CrashTimeline,
        now: Instant,
    ) -> BlameCount {
        let counts = self.crashes.iter().filter(|record| self.counts(record, now));
        let mut own: Vec<_> = counts.filter(|record| !explained.contains(&record.crash)).collect();
        own.sort_unstable_by_key(|record| record.broken);
        let mut blame = BlameCount::default();
        let mut rest = own.as_slice();
        while let Some(first) = rest.first() {
            let length = rest.partition_point(|record| record.broken <= first.broken + MOMENT);
            let (moment, later) = rest.split_at(length);
            rest = later;
            let confirmed = moment.iter().filter(|record| record.confirmed).count();
            let (first, last) = (moment[0].broken, moment[moment.len() - 1].broken);
            let most = match self.other_crashes(first, last, timeline) {
                others if others >= moment.len() => 1,
                _ => moment.len(),
            };
            blame.crashes += moment.len().min(most);
            blame.confirmed += confirmed.min(most);
            blame.moments += 1;
            blame.last = Some(last);
        }
        blame
    }

    /// Number of targets that crashed about then and didn't run this cause.
    fn other_crashes(&self, first: Instant, last: Instant, timeline: &CrashTimeline) -> usize {
        let moment = first.checked_sub(MOMENT).unwrap_or(first)..=last + MOMENT;
        let own = self.crashes.iter().filter(|own| timeline.is_about(&own.crash, &moment));
        timeline.count(&moment).saturating_sub(own.count())
    }

    /// Sets the suspicion that follows from the crashes.
    fn settle(&mut self, cause: SuspectCause, is_sound: bool, blame: &BlameCount) {
        let is_request = matches!(cause, SuspectCause::Request(_));
        let convicting = match cause {
            SuspectCause::Request(_) => CONVICTING_CRASHES,
            SuspectCause::Part(_) if is_sound => CONVICTING_FINISHED_CRASHES,
            SuspectCause::Part(_) => CONVICTING_PART_CRASHES,
        };
        self.conviction_is_final |= is_request && blame.confirmed >= convicting;
        self.suspicion = if self.conviction_is_final || blame.confirmed >= convicting {
            Suspicion::Convicted
        } else if blame.crashes >= convicting {
            Suspicion::Held
        } else if blame.crashes > 0 && !is_sound {
            Suspicion::Suspect
        } else {
            Suspicion::None
        };
        self.trial_due = blame.last.filter(|_| !is_request).map(|last| last + trial_delay(blame));
    }
}

fn trial_delay(blame: &BlameCount) -> Duration {
    let (least, most) = TRIAL_MOMENTS;
    match blame.moments {
        1 => MOMENT_TRIAL_DELAY,
        moments => TRIAL_DELAY * TRIAL_FACTOR.pow(moments.clamp(least, most) as u32 - least as u32),
    }
}
