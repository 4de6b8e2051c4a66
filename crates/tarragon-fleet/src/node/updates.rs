//! News from the store, from peers and from targets.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexSet;

use crate::{
    digest::{ReportedLoad, name_key},
    directory::DirectoryChange,
    member::{ANSWER_NAMES, NAMED_MEMBERS},
    node::{FleetNode, limits::SMALL_FLEET},
    prelude::*,
};

/// Workspaces whose use one digest tells.
const TOLD_WORKSPACES: usize = 64;
/// A load that was told longer ago than this is not passed on.
const TOLD_LIFETIME: Duration = Duration::from_secs(2);
/// Suspected requests that one digest tells, of 70 bytes each: in five digests a second, 3 KB/s to each peer at most.
const TOLD_SUSPECTS: usize = 8;
/// Suspected requests that the answer to a first digest tells, so that a process which has just started knows them
/// before it gets requests. They take a third of a datagram.
const ANSWER_SUSPECTS: usize = 64;
/// Time for which digests tell that a target is leaving: longer than the store's listings take to say so.
const TOLD_LEAVING: Duration = Duration::from_secs(5);
/// Leaving targets that one digest tells, in turns if there are more.
const MAX_LEAVING: usize = 32;

/// A peer's listing that is newer by less than this is not worth a call.
const LISTING_STEP: Duration = Duration::from_millis(150);

/// What a peer knows that this process does not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DigestFollowUp {
    /// A newer state of operators.
    pub newer_operator_state: bool,
    /// A newer listing of targets that differs.
    pub newer_listing: bool,
    /// The peer has just been met and needs an answer at once: until it has met the others, it can't use all
    /// of its part of what they share.
    pub newcomer: bool,
    /// The peer has answered a first digest. Processes that it names need a digest at once, too.
    pub answered: bool,
}

impl FleetNode {
    /// Takes what operators publish, from the store or from a peer. An older state changes nothing. Returns
    /// whether it is in force now.
    pub fn apply_operator_state(
        &mut self,
        now: Instant,
        state: OperatorState,
        source: &str,
        actions: &mut Vec<SchedulerAction>,
    ) -> bool {
        let (known, new) = (self.operator.version(), state.version());
        if state.revision <= self.operator.revision || new < known {
            return false;
        }
        tracing::info!(
            source, version = new, known_version = known, revision = state.revision,
            evacuated = ?state.evacuated, "operator state is in force"
        );
        let configuration = state.configuration.as_deref();
        self.plain_services =
            configuration.map(FleetConfiguration::plain_services).unwrap_or_default();
        self.operator = state;
        self.update_retries();
        self.update_evacuations(now, actions);
        self.update_targets(now, actions);
        true
    }

    fn update_evacuations(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let operator = &self.operator;
        let is_out = |name: &str| operator.evacuated.contains(name);
        let cold_time = |service: &str| operator.cold_time(service);
        let changed = self.directory.evacuate(is_out, cold_time, now);
        for target in changed {
            self.update_starts(&target, now, actions);
            self.list_target(&target, now, actions);
        }
    }

    /// Takes a listing of targets that was read `age` ago.
    pub fn apply_listing(
        &mut self,
        now: Instant,
        listing: &TargetListing,
        age: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(read) = now.checked_sub(age) else { return };
        let operator = &self.operator;
        let cold_time = |service: &str| operator.cold_time(service);
        let changes = self.directory.take(listing, read, cold_time);
        if !changes.is_empty() {
            let targets = self.directory.iter().map(|(target, _)| target);
            self.target_names = targets.map(|target| (name_key(target), target.clone())).collect();
        }
        for change in changes {
            match change {
                DirectoryChange::Changed(target) => {
                    self.update_starts(&target, now, actions);
                    self.list_target(&target, now, actions);
                }
                DirectoryChange::Restarted(target) => {
                    self.update_starts(&target, now, actions);
                    if let Some(terms) = self.terms.get_mut(&target) {
                        terms.health.restart();
                        terms.told = None;
                    }
                    self.list_target(&target, now, actions);
                    self.tell_load(now, &target, 0, 0, Duration::ZERO, actions);
                }
                DirectoryChange::Removed(target) => {
                    self.terms.swap_remove(&target);
                    self.schedule(now, SchedulerEvent::TargetRemoved(target), actions);
                }
                DirectoryChange::Lapsed(target) => {
                    self.terms.swap_remove(&target);
                    self.schedule(now, SchedulerEvent::TargetExpired(target), actions);
                }
            }
        }
        self.confirm_processes(now, actions);
        self.update_evacuations(now, actions);
        self.update_targets(now, actions);
        self.update_pauses(now, actions);
    }

    /// Tells the scheduler which processes are still listed at targets with broken connections.
    fn confirm_processes(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let Some(read) = self.directory.renewed() else { return };
        let broken: Vec<TargetName> =
            self.scheduler.targets_with_broken_connections().cloned().collect();
        for target in broken {
            let Some(entry) = self.directory.get(&target).filter(|entry| entry.is_listed()) else {
                continue;
            };
            let restart = entry.restart;
            self.schedule(now, SchedulerEvent::ProcessConfirmed { target, restart, read }, actions);
        }
    }

    /// The instance at a target's address says that it is leaving. It gets no new work from now on, also while
    /// the store is away or its entry doesn't say so yet.
    pub fn mark_target_leaving(
        &mut self,
        now: Instant,
        target: &TargetName,
        instance: &str,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.directory.note_leaving(target, instance, now) {
            self.list_target(target, now, actions);
            self.update_pauses(now, actions);
        }
    }

    /// The instance at a target's address wants no requests of this process for a time.
    pub fn pause_target(
        &mut self,
        now: Instant,
        target: &TargetName,
        instance: &str,
        time: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.directory.pause(target, instance, time, now) {
            self.list_target(target, now, actions);
            self.update_pauses(now, actions);
        }
    }

    /// Tells the scheduler which services wait for the end of a pause at all their targets.
    pub(super) fn update_pauses(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let services: IndexSet<ServiceName> =
            self.directory.iter().map(|(_, entry)| entry.listed.service.clone()).collect();
        for service in services {
            let until = self.directory.service_pause(&service);
            if self.pauses.get(&service).copied().flatten() != until {
                self.pauses.insert(service.clone(), until);
                self.schedule(now, SchedulerEvent::ServicePaused(service, until), actions);
            }
        }
    }

    /// Takes the load that a target told with an answer.
    pub fn update_target_load(
        &mut self,
        now: Instant,
        target: &TargetName,
        running: u16,
        waiting: u16,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(terms) = self.terms.get_mut(target) else { return };
        let told = Some(ReportedLoad { running, waiting, age_ms: 0 });
        terms.told = Some((TargetUse { target: name_key(target), in_flight: 0, told }, now));
        self.tell_load(now, target, running, waiting, Duration::ZERO, actions);
    }

    /// Another instance answered at a target's address.
    pub fn mark_target_replaced(
        &mut self,
        now: Instant,
        target: &TargetName,
        instance: &str,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.directory.replaced(target, instance) {
            self.list_target(target, now, actions);
        }
    }

    /// Takes a peer's digest. Returns what is to be asked of the peer.
    pub fn receive_digest(
        &mut self,
        now: Instant,
        from: SocketAddr,
        digest: PeerDigest,
        actions: &mut Vec<SchedulerAction>,
    ) -> DigestFollowUp {
        let newcomer = !digest.answers && self.members.is_newcomer(from, &digest);
        let answered = digest.answers;
        let news = DigestFollowUp { newcomer, answered, ..self.compare(&digest, now) };
        let sharing = self.members.sharing();
        let uses = digest.uses.clone();
        let suspects = digest.suspects.clone();
        let leaving = digest.leaving.clone();
        if let Some(usage) = self.members.own_former(&digest) {
            self.quotas.adopt(usage, now);
        }
        if !self.members.take(from, digest, now) {
            return DigestFollowUp::default();
        }
        if self.members.sharing() != sharing {
            self.update_retries();
        }
        for suspect in suspects {
            self.schedule(now, SchedulerEvent::SuspectReported(suspect), actions);
        }
        for restart in leaving {
            if let Some(target) = self.directory.take_leaving(restart, now) {
                self.list_target(&target, now, actions);
            }
        }
        self.take_told_loads(now, &uses, actions);
        if self.members.sharing() <= SMALL_FLEET {
            self.update_targets(now, actions);
        }
        news
    }

    /// Compares what a peer knows of the store with what is known here.
    fn compare(&mut self, digest: &PeerDigest, now: Instant) -> DigestFollowUp {
        let before = |age_ms: Option<u32>| {
            age_ms.and_then(|age| now.checked_sub(Duration::from_millis(u64::from(age))))
        };
        if digest.operator_revision == self.operator.revision {
            self.operator_confirmed = self.operator_confirmed.max(before(digest.operator_age_ms));
        }
        let mut news = DigestFollowUp {
            newer_operator_state: digest.operator_revision > self.operator.revision,
            ..DigestFollowUp::default()
        };
        let Some(read) = before(digest.listing_age_ms) else { return news };
        let own = self.directory.age(now).and_then(|age| now.checked_sub(age));
        if own.is_some_and(|own| own + LISTING_STEP >= read) {
            return news;
        }
        if own.is_some() && digest.listing_hash == self.directory.hash() {
            self.directory.confirm(read);
        } else {
            news.newer_listing = !self.reads_targets(now) || own.is_none();
        }
        news
    }

    fn take_told_loads(
        &mut self,
        now: Instant,
        uses: &[TargetUse],
        actions: &mut Vec<SchedulerAction>,
    ) {
        for one in uses {
            let Some(told) = one.told else { continue };
            let age = Duration::from_millis(u64::from(told.age_ms));
            let Some(taken) = now.checked_sub(age) else { continue };
            let Some(target) = self.target_names.get(&one.target).cloned() else { continue };
            let Some(terms) = self.terms.get_mut(&target) else { continue };
            if terms.told.as_ref().is_some_and(|(_, known)| *known >= taken) {
                continue;
            }
            terms.told = Some((*one, taken));
            self.tell_load(now, &target, told.running, told.waiting, age, actions);
        }
    }

    fn tell_load(
        &mut self,
        now: Instant,
        target: &TargetName,
        running: u16,
        waiting: u16,
        age: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(entry) = self.directory.get(target) else { return };
        let cold = entry.is_cold(now);
        let load = TargetLoad { running: running.into(), waiting: waiting.into(), cold };
        let event = SchedulerEvent::ResponseLoadReported { target: target.clone(), load, age };
        self.schedule(now, event, actions);
    }

    /// The digest for a peer that has just been met.
    pub fn answer_digest(&mut self, peer: SocketAddr, now: Instant) -> PeerDigest {
        let digest = self.digest_naming(ANSWER_NAMES, ANSWER_SUSPECTS, now);
        let former = self.members.former_of(peer).into_iter().collect();
        PeerDigest { answers: true, former, ..digest }
    }

    /// The digest for peers.
    pub fn next_digest(&mut self, now: Instant) -> PeerDigest {
        self.digest_naming(NAMED_MEMBERS, TOLD_SUSPECTS, now)
    }

    /// A digest in place of another one, for peers that get the sum of the data centre.
    pub fn sum_digest(&self, digest: &PeerDigest, now: Instant) -> PeerDigest {
        let mut sum = match self.members.relayed_sum(now) {
            Some(sum) => sum.clone(),
            None => self.members.own_centre_sum(digest),
        };
        sum.usage.sort_unstable_by_key(|one| std::cmp::Reverse(one.units));
        sum.usage.truncate(TOLD_WORKSPACES);
        PeerDigest {
            uses: Vec::new(),
            usage: Vec::new(),
            members: Vec::new(),
            centre: Some(sum),
            ..digest.clone()
        }
    }

    fn digest_naming(&mut self, members: usize, suspects: usize, now: Instant) -> PeerDigest {
        self.sequence += 1;
        let age = |since: Instant| {
            u32::try_from(now.saturating_duration_since(since).as_millis()).unwrap_or(u32::MAX)
        };
        let mut uses = Vec::new();
        for (target, terms) in &self.terms {
            let in_flight = self.scheduler.slot_usage(target).map_or(0, |used| used.in_flight);
            let told = terms.told.as_ref().and_then(|(one, taken)| {
                let recent = now.saturating_duration_since(*taken) < TOLD_LIFETIME;
                one.told.filter(|_| recent).map(|told| ReportedLoad { age_ms: age(*taken), ..told })
            });
            if in_flight > 0 || told.is_some() {
                let in_flight = u16::try_from(in_flight).unwrap_or(u16::MAX);
                uses.push(TargetUse { target: name_key(target), in_flight, told });
            }
        }
        let mut usage = self.quotas.sums(now);
        usage.sort_unstable_by_key(|sum| std::cmp::Reverse(sum.units));
        usage.truncate(TOLD_WORKSPACES);
        let suspects = self.scheduler.suspects_for_digest(suspects, now);
        self.members.note_told(self.sequence, &uses, &usage);
        let mut leaving = self.directory.leaving_since(TOLD_LEAVING, now);
        if leaving.len() > MAX_LEAVING {
            let turns = leaving.len().div_ceil(MAX_LEAVING);
            let turn = usize::try_from(self.sequence).unwrap_or_default() % turns;
            leaving.rotate_left(turn * MAX_LEAVING);
            leaving.truncate(MAX_LEAVING);
        }
        PeerDigest {
            vm: self.settings.vm.clone(),
            data_centre: name_key(&self.settings.data_centre),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            operator_revision: self.operator.revision,
            operator_age_ms: self.operator_confirmed.map(age),
            listing_age_ms: self.directory.age(now).and_then(|age| age.as_millis().try_into().ok()),
            listing_hash: self.directory.hash(),
            uses,
            usage,
            centre: None,
            unknown_ms: self.quotas.unknown(now).as_millis() as u32,
            suspects,
            leaving,
            former: self.members.former(now),
            answers: false,
            requests_sums: false,
            met: u32::try_from(self.members.met()).unwrap_or(u32::MAX),
            members: self.members.named(members),
        }
    }
}
