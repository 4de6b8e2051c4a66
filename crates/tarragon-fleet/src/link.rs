//! Links of this process to targets. A link is lost if this process can't connect to a target that a peer reaches:
//! that says nothing about the target.

use std::{
    io,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::prelude::*;

/// Time within which failures of several links count as one event.
const BURST_SPAN: Duration = Duration::from_secs(2);
/// Links that fail within that time before the others, as far as they have brought nothing since, are taken for
/// lost as well: connections over them may hang.
const BURST_LINKS: usize = 3;
/// Interval between two probes of a lost link. It doubles up to the longest one.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Lost links that are probed at once.
pub const MAX_PROBES: usize = 2;

/// Time for which what peers told of a target is used again. It is shorter than the restart of a target.
const FINDING_TIME: Duration = Duration::from_millis(100);

/// How a connection to a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFault {
    /// It was refused: no process listens at the target's port, or something on the way refuses for it.
    Refused,
    /// It timed out, or was closed before it could be used.
    Other,
}

impl ConnectFault {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ConnectFault::Refused => "refused",
            ConnectFault::Other => "other",
        }
    }
}

impl From<&io::Error> for ConnectFault {
    fn from(error: &io::Error) -> ConnectFault {
        match error.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                ConnectFault::Refused
            }
            _ => ConnectFault::Other,
        }
    }
}

/// What peers told of a target to which this process could not connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFinding {
    /// They can't connect to it either.
    Unreached,
    /// None told whether it can connect to it.
    Unknown,
}

impl PeerFinding {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            PeerFinding::Unreached => "unreached",
            PeerFinding::Unknown => "unknown",
        }
    }
}

/// A finding of peers that is used again.
#[derive(Debug, Clone, Copy)]
struct KnownFinding {
    finding: PeerFinding,
    /// Start of the target's process that it is about.
    restart: RestartId,
    at: Instant,
}

/// Why a link counts as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// A connection could not be made, and a peer reached the target.
    ConnectFailed,
    /// A connection broke or brought nothing, no other could be made, and a peer reached the target.
    Broken,
    /// Several others were lost at once, and it has brought nothing since.
    Presumed,
}

impl LossCause {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            LossCause::ConnectFailed => "connect_failed",
            LossCause::Broken => "broken",
            LossCause::Presumed => "presumed",
        }
    }
}

/// A link that has been lost.
#[derive(Debug, Clone, Copy)]
struct LostLink {
    since: Instant,
    next_probe: Instant,
    interval: Duration,
}

/// The link to one target.
#[derive(Debug, Clone, Copy, Default)]
struct LinkState {
    /// When something last arrived over it.
    contact: Option<Instant>,
    /// When a connection last failed, if none has been made since.
    failed: Option<Instant>,
    /// What peers last told of the target, if no connection has been made since.
    finding: Option<KnownFinding>,
    lost: Option<LostLink>,
}

/// The links to all targets.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: IndexMap<TargetName, LinkState>,
    lost: usize,
    /// When something last arrived from any target.
    contact: Option<Instant>,
    /// Since when several links have been lost at once.
    burst: Option<Instant>,
}

impl LinkTable {
    /// Whether the link to a target is lost.
    pub fn is_lost(&self, target: &str) -> bool {
        self.links.get(target).is_some_and(|link| link.lost.is_some())
    }

    /// When something last arrived from a target over a connection of this process.
    pub fn last_contact(&self, target: &str) -> Option<Instant> {
        self.links.get(target)?.contact
    }

    /// Whether a link is not known to be lost, but several others were lost at once and it has brought nothing
    /// since.
    pub fn is_doubtful(&self, target: &str) -> bool {
        let Some(began) = self.burst else { return false };
        let link = self.links.get(target);
        link.is_none_or(|link| link.lost.is_none() && link.contact.is_none_or(|at| at < began))
    }

    /// Number of lost links.
    pub fn lost_count(&self) -> usize {
        self.lost
    }

    /// Whether this process itself may be cut off, so that its own failed connections say nothing about targets: it
    /// has lost links, or several connections have failed lately and nothing has arrived from any target since.
    pub fn may_be_cut(&self, now: Instant) -> bool {
        if self.lost > 0 {
            return true;
        }
        let failed = self.links.values().filter_map(|link| link.failed);
        let recent = failed.filter(|at| now.saturating_duration_since(*at) < BURST_SPAN);
        let first = recent.clone().min();
        recent.count() >= BURST_LINKS && self.contact < first
    }

    /// Records that something has arrived from a target over a connection of this process.
    pub fn record_contact(&mut self, target: &TargetName, now: Instant) {
        self.contact = Some(now);
        match self.links.get_mut(target) {
            Some(link) => link.contact = Some(now),
            None => {
                let link = LinkState { contact: Some(now), ..LinkState::default() };
                self.links.insert(target.clone(), link);
            }
        }
    }

    /// Records that a connection to a target has been made. Returns for how long the link had been lost.
    pub fn record_connection(&mut self, target: &TargetName, now: Instant) -> Option<Duration> {
        self.record_contact(target, now);
        let link = self.links.get_mut(target)?;
        link.failed = None;
        link.finding = None;
        let lost = link.lost.take()?;
        self.lost -= 1;
        if self.lost == 0 {
            self.burst = None;
        }
        // The others may be back, too.
        for other in self.links.values_mut().filter_map(|link| link.lost.as_mut()) {
            other.next_probe = other.next_probe.min(now);
        }
        Some(now.saturating_duration_since(lost.since))
    }

    /// Records that a connection to a target could not be made.
    pub fn record_failure(&mut self, target: &TargetName, now: Instant) {
        self.links.entry(target.clone()).or_default().failed = Some(now);
    }

    /// Records what peers told of a process of a target to which this process could not connect.
    pub fn record_finding(
        &mut self,
        target: &TargetName,
        restart: RestartId,
        finding: PeerFinding,
        now: Instant,
    ) {
        let known = KnownFinding { finding, restart, at: now };
        self.links.entry(target.clone()).or_default().finding = Some(known);
    }

    /// What peers told of a process of a target, with its age, if they need not be asked again after another
    /// connection has failed. A finding is used for a short time. That they can't connect to it either is used for
    /// longer if the target still refuses connections while the links to others are sound.
    pub fn known_finding(
        &self,
        target: &TargetName,
        restart: RestartId,
        fault: ConnectFault,
        now: Instant,
    ) -> Option<(PeerFinding, Duration)> {
        let known = self.links.get(target)?.finding?;
        let age = now.saturating_duration_since(known.at);
        let is_same = known.restart == restart;
        let is_confirmed = known.finding == PeerFinding::Unreached
            && fault == ConnectFault::Refused
            && self.others_are_sound(target, known.at, now);
        (is_same && (age < FINDING_TIME || is_confirmed)).then_some((known.finding, age))
    }

    /// Whether another target has answered since `since`, and no link to another one is lost or has failed lately
    /// unless peers can't connect to that one either. Something that cuts this process off may refuse connections,
    /// too, but those to several targets.
    fn others_are_sound(&self, target: &TargetName, since: Instant, now: Instant) -> bool {
        let is_doubtful = |link: &LinkState| {
            let is_recent = |at| now.saturating_duration_since(at) < BURST_SPAN;
            let unreached = |known: KnownFinding| known.finding == PeerFinding::Unreached;
            link.failed.is_some_and(is_recent) && !link.finding.is_some_and(unreached)
        };
        let has_answered = |link: &LinkState| link.contact.is_some_and(|at| at > since);
        let mut others = self.links.iter().filter(|(name, _)| *name != target);
        self.lost == 0
            && others.clone().any(|(_, link)| has_answered(link))
            && !others.any(|(_, link)| is_doubtful(link))
    }

    /// Records that a peer reaches a target that this process doesn't. Returns whether the link was not known to
    /// be lost.
    pub fn record_loss(&mut self, target: &TargetName, now: Instant) -> bool {
        let link = self.links.entry(target.clone()).or_default();
        if link.lost.is_some() {
            return false;
        }
        let interval = MIN_PROBE_INTERVAL;
        link.lost = Some(LostLink { since: now, next_probe: now + interval, interval });
        self.lost += 1;
        let recent = self.links.values().filter_map(|link| link.lost).map(|lost| lost.since);
        let recent = recent.filter(|since| now.saturating_duration_since(*since) < BURST_SPAN);
        if recent.clone().count() >= BURST_LINKS {
            self.burst = self.burst.or(recent.min());
        }
        true
    }

    /// The lost links to probe now, the one that has waited longest first.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<TargetName> {
        let lost =
            self.links.iter_mut().filter_map(|(name, link)| Some((name, link.lost.as_mut()?)));
        let mut due: Vec<_> = lost.filter(|(_, lost)| lost.next_probe <= now).collect();
        due.sort_by_key(|(_, lost)| lost.next_probe);
        due.truncate(MAX_PROBES);
        let start = |(name, lost): (&TargetName, &mut LostLink)| {
            lost.next_probe = now + lost.interval;
            lost.interval = (lost.interval * 2).min(MAX_PROBE_INTERVAL);
            name.clone()
        };
        due.into_iter().map(start).collect()
    }

    /// Forgets a target.
    pub fn remove(&mut self, target: &str) {
        let removed = self.links.swap_remove(target);
        if removed.is_some_and(|link| link.lost.is_some()) {
            self.lost -= 1;
            if self.lost == 0 {
                self.burst = None;
            }
        }
    }
}
