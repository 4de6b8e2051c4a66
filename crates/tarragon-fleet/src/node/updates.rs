//! Updates from the store, from peers and from targets.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexSet;

use crate::{
    digest::{ReportedLoad, name_key},
    directory::DirectoryChange,
    member::{MAX_ANSWER_ADDRESSES, MAX_NAMED_ADDRESSES},
    node::{FleetNode, ToldSlots, limits::SMALL_FLEET_SIZE, rejections::RejectionState},
    prelude::*,
    published::StorePosition,
};

/// Most workspaces whose quota usage one digest reports.
const MAX_WORKSPACES: usize = 64;
/// Age above which a target's reported load is not passed on to peers.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);
/// Most suspected requests that one digest reports. Each takes 70 bytes: in five digests a second, 3 KB/s to
/// each peer at most.
const MAX_DIGEST_SUSPECTS: usize = 8;
/// Most suspected requests that the answer to a first digest reports, so that a process which has just
/// started knows them before it gets requests. They take a third of a datagram.
const MAX_ANSWER_SUSPECTS: usize = 64;
/// Time for which digests report that a target is leaving: longer than it takes until the store's listings
/// show it.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(5);
/// Most leaving targets that one digest reports. If there are more, consecutive digests report them in
/// rotation.
const MAX_LEAVING: usize = 32;

/// Time for which operators write again what the store has lost by coming back from a copy.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Time for which digests report that a target names no limit any more. A peer that still reports the limit
/// later is told again.
const LIMIT_END_REPORT_TIME: Duration = Duration::from_secs(10);
/// Most limits of targets of each kind that one digest reports, in rotation. Each takes up to 18 bytes.
const MAX_LIMITS: usize = 32;
/// A peer's listing is requested only if it is newer than the own one by at least this.
const MIN_LISTING_ADVANCE: Duration = Duration::from_millis(150);

/// What to do after a peer's digest: what the peer knows that this process does not, and whether to reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DigestFollowUp {
    /// The peer has a newer operator state.
    pub newer_operator_state: bool,
    /// The peer has a newer listing of targets with different content.
    pub newer_listing: bool,
    /// This is the first digest since the peer's start. It needs an answer at once: until it has heard from
    /// the other processes, it can't use its whole share of the limits.
    pub newcomer: bool,
    /// The digest answers this process's first one. The processes that it names need a digest at once, too.
    pub answered: bool,
}

impl FleetNode {
    /// Applies an operator state from the store or from a peer. An older state is ignored. Returns whether
    /// the state became active.
    pub fn apply_operator_state(
        &mut self,
        now: Instant,
        state: OperatorState,
        source: &str,
        actions: &mut Vec<SchedulerAction>,
    ) -> bool {
        let (known, position) = (self.operator_state.position(), state.position());
        let (known_version, version) = (self.operator_state.version(), state.version());
        if !self.operator_state.is_outdated_by(&state) {
            return false;
        }
        self.directory.note_era(position.era, now);
        let state = self.merge_operator_state(state, now);
        tracing::info!(
            source, version, known_version, active_version = state.version(),
            revision = position.revision, era = position.era, known_revision = known.revision,
            known_era = known.era, evacuated = ?state.evacuated, "operator state is active"
        );
        let configuration = state.configuration.as_deref();
        self.unstreamed_services =
            configuration.map(FleetConfiguration::unstreamed_services).unwrap_or_default();
        self.directory.set_named_services(
            configuration.map(FleetConfiguration::named_services).unwrap_or_default(),
        );
        let before = std::mem::replace(&mut self.operator_state, state);
        self.update_memories(&before, now, actions);
        self.update_retries();
        self.update_evacuations(now, actions);
        self.update_targets(now, actions);
        true
    }

    /// Passes the memory of the engines of each service to the scheduler, where it has changed.
    fn update_memories(
        &mut self,
        before: &OperatorState,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let services = |state: &OperatorState| -> IndexSet<ServiceName> {
            let configuration = state.configuration.as_deref();
            configuration.into_iter().flat_map(|known| known.services.keys().cloned()).collect()
        };
        let memory = |state: &OperatorState, service: &str| {
            state.service_configuration(service).map_or(0, |terms| terms.memory_tokens)
        };
        for service in services(before).union(&services(&self.operator_state)) {
            let tokens = memory(&self.operator_state, service);
            if tokens != memory(before, service) {
                self.schedule(now, SchedulerEvent::CacheSized(service.clone(), tokens), actions);
            }
        }
    }

    /// Combines the known operator state with another one that has a later position in the history of the store,
    /// a newer configuration, or both. A configuration never goes back to an older version. If the store has
    /// come back from a copy, data centres stay out of service until operators have had time to write that
    /// again.
    fn merge_operator_state(&mut self, state: OperatorState, now: Instant) -> OperatorState {
        let known = &self.operator_state;
        let position = known.position().max(state.position());
        let is_later = state.position() > known.position();
        let is_other_era = state.era != known.era && known.configuration.is_some();
        let newest = if known.version() > state.version() { known } else { &state };
        let (configuration, configuration_era) =
            (newest.configuration.clone(), newest.configuration_era);
        let (mut evacuated, older) = match is_later {
            true => (state.evacuated, &known.evacuated),
            false => (known.evacuated.clone(), &state.evacuated),
        };
        self.carried_evacuations.retain(|name, until| !evacuated.contains(name) && *until > now);
        if is_other_era {
            for name in older.iter().filter(|name| !evacuated.contains(*name)) {
                self.carried_evacuations.entry(name.clone()).or_insert(now + REWRITE_TIME);
            }
        }
        evacuated.extend(self.carried_evacuations.keys().cloned());
        let StorePosition { era, revision } = position;
        OperatorState { era, revision, configuration, configuration_era, evacuated }
    }

    /// Returns data centres to service whose evacuation nobody has written again since the store has come back
    /// from a copy.
    pub(super) fn end_carried_evacuations(
        &mut self,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let is_over = |_: &DataCentreName, until: &mut Instant| *until <= now;
        let ended: Vec<DataCentreName> =
            self.carried_evacuations.extract_if(.., is_over).map(|(name, _)| name).collect();
        for name in &ended {
            tracing::info!(
                data_centre = &**name,
                "evacuation was not written again after the store was restored; it is over"
            );
            self.operator_state.evacuated.shift_remove(name);
        }
        if !ended.is_empty() {
            self.update_evacuations(now, actions);
        }
    }

    fn update_evacuations(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let operator_state = &self.operator_state;
        let is_evacuated = |name: &str| operator_state.evacuated.contains(name);
        let cold_time = |service: &str| operator_state.cold_time(service);
        let changed = self.directory.set_evacuated(is_evacuated, cold_time, now);
        for target in changed {
            self.update_start_limit(&target, now, actions);
            self.announce_target(&target, now, actions);
        }
    }

    /// Applies a listing of targets that was read from the store `age` ago.
    pub fn apply_listing(
        &mut self,
        now: Instant,
        listing: &TargetListing,
        age: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(read_at) = now.checked_sub(age) else { return };
        let operator_state = &self.operator_state;
        let cold_time = |service: &str| operator_state.cold_time(service);
        let changes = self.directory.apply_listing(listing, read_at, cold_time);
        self.record_builds(listing, read_at);
        if !changes.is_empty() {
            let targets = self.directory.iter().map(|(target, _)| target);
            self.target_names = targets.map(|target| (name_key(target), target.clone())).collect();
        }
        for change in changes {
            match change {
                DirectoryChange::Changed(target) => {
                    self.update_start_limit(&target, now, actions);
                    self.announce_target(&target, now, actions);
                }
                DirectoryChange::Restarted(target) => {
                    self.update_start_limit(&target, now, actions);
                    if let Some(target_state) = self.targets.get_mut(&target) {
                        target_state.health.reset();
                        target_state.rejections = RejectionState::default();
                        target_state.load = None;
                    }
                    self.announce_target(&target, now, actions);
                    let load = AnswerLoad::default();
                    self.update_scheduler_load(now, &target, load, Duration::ZERO, actions);
                }
                DirectoryChange::Removed(target) => {
                    self.targets.swap_remove(&target);
                    self.links.remove(&target);
                    self.schedule(now, SchedulerEvent::TargetRemoved(target), actions);
                }
                DirectoryChange::Lapsed(target) => {
                    self.targets.swap_remove(&target);
                    self.links.remove(&target);
                    self.schedule(now, SchedulerEvent::TargetExpired(target), actions);
                }
            }
        }
        self.confirm_processes(now, actions);
        self.update_evacuations(now, actions);
        self.update_targets(now, actions);
        self.update_pauses(now, actions);
    }

    /// For targets with broken connections, confirms to the scheduler which of their processes are still
    /// listed.
    fn confirm_processes(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let Some(read) = self.directory.read_after_renewal() else { return };
        let broken: Vec<TargetName> =
            self.scheduler.targets_with_broken_connections().cloned().collect();
        for target in broken {
            let Some(entry) = self.directory.get(&target).filter(|entry| entry.is_listed()) else {
                continue;
            };
            let restart = entry.restart_id;
            self.schedule(now, SchedulerEvent::ProcessConfirmed { target, restart, read }, actions);
        }
    }

    /// Marks a target as leaving, as the instance at its address reports. It gets no new work from now on,
    /// even while the store is unreachable or the target's entry there doesn't show it yet.
    pub fn mark_target_leaving(
        &mut self,
        now: Instant,
        target: &TargetName,
        instance: &str,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.directory.mark_leaving(target, instance, now) {
            self.announce_target(target, now, actions);
            self.update_pauses(now, actions);
        }
    }

    /// Pauses a target: the instance at its address wants no requests from this process for `time`.
    pub fn pause_target(
        &mut self,
        now: Instant,
        target: &TargetName,
        instance: &str,
        time: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.directory.pause(target, instance, time, now) {
            self.announce_target(target, now, actions);
            self.update_pauses(now, actions);
        }
    }

    /// Applies what an answer of a target says about the rate that it accepts. Returns whether peers should hear
    /// of it at once.
    pub fn apply_rate(
        &mut self,
        now: Instant,
        target: &TargetName,
        answer: &RateAnswer<'_>,
        actions: &mut Vec<SchedulerAction>,
    ) -> bool {
        let changed = self.directory.apply_rate(target, answer, now);
        if changed {
            self.update_pacing(target, now, actions);
        }
        changed
    }

    /// Applies what a peer whose fleet clock shows `peer_time` reports about the rates of targets.
    fn apply_reported_rates(
        &mut self,
        now: Instant,
        peer_time: Duration,
        notices: &[RateNotice],
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.clock.advance(peer_time, now);
        let transit = self.clock.time(now).saturating_sub(peer_time);
        for notice in notices {
            let age = transit + Duration::from_millis(u64::from(notice.age_ms));
            let Some(as_of) = now.checked_sub(age) else { continue };
            if let Some(target) = self.directory.apply_reported_rate(notice, as_of, now) {
                self.update_pacing(&target, now, actions);
            }
        }
    }

    /// Applies what an answer of a target says about the rejections that it can bear. Returns whether peers should
    /// hear of it at once.
    pub fn apply_rejections(
        &mut self,
        now: Instant,
        target: &TargetName,
        answer: &RejectionAnswer<'_>,
        actions: &mut Vec<SchedulerAction>,
    ) -> bool {
        let changed = self.directory.apply_rejections(target, answer, now);
        if changed {
            self.update_targets(now, actions);
        }
        changed
    }

    /// Applies what a peer whose fleet clock shows `peer_time` reports about the rejections that targets can bear.
    fn apply_reported_rejections(
        &mut self,
        now: Instant,
        peer_time: Duration,
        notices: &[RejectionNotice],
        actions: &mut Vec<SchedulerAction>,
    ) {
        let transit = self.clock.time(now).saturating_sub(peer_time);
        let mut changed = false;
        for notice in notices {
            let age = transit + Duration::from_millis(u64::from(notice.age_ms));
            let Some(as_of) = now.checked_sub(age) else { continue };
            changed |= self.directory.apply_reported_rejections(notice, as_of, now);
        }
        if changed {
            self.update_targets(now, actions);
        }
    }

    /// Passes to the scheduler for which services all targets are paused, and until when.
    pub(super) fn update_pauses(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let services: IndexSet<ServiceName> =
            self.directory.iter().map(|(_, entry)| entry.listed.service.clone()).collect();
        for service in services {
            let until = self.directory.service_paused_until(&service);
            if self.pauses.get(&service).copied().flatten() != until {
                self.pauses.insert(service.clone(), until);
                self.schedule(now, SchedulerEvent::ServicePaused(service, until), actions);
            }
        }
    }

    /// Records the load that a target reported with an answer.
    pub fn update_target_load(
        &mut self,
        now: Instant,
        target: &TargetName,
        answered: AnswerLoad,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(target_state) = self.targets.get_mut(target) else { return };
        let AnswerLoad { running, waiting, .. } = answered;
        let load = Some(ReportedLoad { running, waiting, age_ms: 0 });
        target_state.load = Some((TargetUse { target: name_key(target), in_flight: 0, load }, now));
        if let Some(slots) = answered.slots {
            self.update_told_slots(target, slots);
        }
        self.update_scheduler_load(now, target, answered, Duration::ZERO, actions);
    }

    /// Records the number of slots that a target told with an answer.
    fn update_told_slots(&mut self, target: &TargetName, slots: u32) {
        let Some(entry) = self.directory.get(target) else { return };
        let Some(target_state) = self.targets.get_mut(target) else { return };
        let told = ToldSlots { slots, restart: entry.restart_id };
        let before = target_state.told_slots.replace(told);
        let before = before.filter(|before| before.restart == entry.restart_id);
        let listed = entry.listed.slots;
        let before = before.map_or(listed, |before| before.slots);
        if slots != before {
            tracing::warn!(
                target_address = &**target,
                instance = &*entry.listed.instance,
                listed,
                told = slots,
                before,
                "number of slots that the target tells has changed"
            );
        }
    }

    /// Records that another instance answered at a target's address.
    pub fn mark_target_replaced(
        &mut self,
        now: Instant,
        target: &TargetName,
        instance: &str,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.directory.mark_replaced(target, instance) {
            self.announce_target(target, now, actions);
        }
    }

    /// Processes a peer's digest. Returns what to request from the peer or send to it.
    pub fn receive_digest(
        &mut self,
        now: Instant,
        from: SocketAddr,
        digest: PeerDigest,
        actions: &mut Vec<SchedulerAction>,
    ) -> DigestFollowUp {
        let newcomer = !digest.is_answer && self.members.is_newcomer(from, &digest);
        let answered = digest.is_answer;
        let follow_up =
            DigestFollowUp { newcomer, answered, ..self.compare_store_state(&digest, now) };
        let sharing = self.members.sharing();
        let uses = digest.target_uses.clone();
        let suspects = digest.suspects.clone();
        let leaving = digest.leaving_restart_ids.clone();
        let peer_time = Duration::from_millis(digest.fleet_time_ms);
        let rates = digest.rates.clone();
        let rejection_limits = digest.rejection_limits.clone();
        if let Some(usage) = self.members.own_former_usage(&digest) {
            self.quotas.restore_former_usage(usage, now);
        }
        if !self.members.apply_digest(from, digest, now) {
            return DigestFollowUp::default();
        }
        if self.members.sharing() != sharing {
            self.update_retries();
        }
        for suspect in suspects {
            self.schedule(now, SchedulerEvent::SuspectReported(suspect), actions);
        }
        for restart_id in leaving {
            if let Some(target) = self.directory.mark_leaving_by_id(restart_id, now) {
                self.announce_target(&target, now, actions);
            }
        }
        self.apply_reported_rates(now, peer_time, &rates, actions);
        self.apply_reported_rejections(now, peer_time, &rejection_limits, actions);
        self.apply_reported_loads(now, &uses, actions);
        if self.members.sharing() <= SMALL_FLEET_SIZE {
            self.update_targets(now, actions);
        }
        follow_up
    }

    /// Compares the peer's operator state and target listing with the own ones. Equal ones are confirmed as
    /// of the time at which the peer read them.
    fn compare_store_state(&mut self, digest: &PeerDigest, now: Instant) -> DigestFollowUp {
        let instant_before = |age_ms: Option<u32>| {
            age_ms.and_then(|age| now.checked_sub(Duration::from_millis(u64::from(age))))
        };
        if digest.operator_position == self.operator_state.position() {
            self.operator_confirmed =
                self.operator_confirmed.max(instant_before(digest.operator_age_ms));
        }
        let mut follow_up = DigestFollowUp {
            newer_operator_state: self.has_older_operator_state(digest),
            ..DigestFollowUp::default()
        };
        let Some(read_at) = instant_before(digest.listing_age_ms) else { return follow_up };
        let own = self.directory.age(now).and_then(|age| now.checked_sub(age));
        if own.is_some_and(|own| own + MIN_LISTING_ADVANCE >= read_at) {
            return follow_up;
        }
        if own.is_some() && digest.listing_hash == self.directory.hash() {
            self.directory.confirm(read_at);
            self.builds.confirm(read_at);
        } else {
            follow_up.newer_listing = !self.reads_targets(now) || own.is_none();
        }
        follow_up
    }

    /// Applies the target loads that a peer reports and that are newer than the known ones.
    fn apply_reported_loads(
        &mut self,
        now: Instant,
        uses: &[TargetUse],
        actions: &mut Vec<SchedulerAction>,
    ) {
        for one in uses {
            let Some(load) = one.load else { continue };
            let age = Duration::from_millis(u64::from(load.age_ms));
            let Some(reported_at) = now.checked_sub(age) else { continue };
            let Some(target) = self.target_names.get(&one.target).cloned() else { continue };
            let Some(target_state) = self.targets.get_mut(&target) else { continue };
            if target_state.load.as_ref().is_some_and(|(_, known)| *known >= reported_at) {
                continue;
            }
            target_state.load = Some((*one, reported_at));
            let ReportedLoad { running, waiting, .. } = load;
            let load = AnswerLoad { running, waiting, ..AnswerLoad::default() };
            self.update_scheduler_load(now, &target, load, age, actions);
        }
    }

    /// Passes the load of a target, as of `age` ago, to the scheduler.
    fn update_scheduler_load(
        &mut self,
        now: Instant,
        target: &TargetName,
        load: AnswerLoad,
        age: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(entry) = self.directory.get(target) else { return };
        let cold = entry.is_cold(now);
        let load = TargetLoad {
            running: load.running.into(),
            waiting: load.waiting.into(),
            cold,
            pace_percent: load.pace_percent,
        };
        let event = SchedulerEvent::ResponseLoadReported { target: target.clone(), load, age };
        self.schedule(now, event, actions);
    }

    /// Builds the digest that answers the first digest of a peer.
    pub fn answer_digest(&mut self, peer: SocketAddr, now: Instant) -> PeerDigest {
        let digest = self.build_digest(MAX_ANSWER_ADDRESSES, MAX_ANSWER_SUSPECTS, now);
        let former_usage = self.members.former_usage_of(peer).into_iter().collect();
        PeerDigest { is_answer: true, former_usage, ..digest }
    }

    /// Builds the next regular digest.
    pub fn next_digest(&mut self, now: Instant) -> PeerDigest {
        self.build_digest(MAX_NAMED_ADDRESSES, MAX_DIGEST_SUSPECTS, now)
    }

    /// Builds the variant of a digest for peers that get the sum over the data centre instead of this
    /// process's usage.
    pub fn sum_digest(&self, digest: &PeerDigest, now: Instant) -> PeerDigest {
        let mut sum = match self.members.relayed_sum(now) {
            Some(sum) => sum.clone(),
            None => self.members.own_centre_sum(digest),
        };
        sum.quota_usage.sort_unstable_by_key(|one| std::cmp::Reverse(one.units));
        sum.quota_usage.truncate(MAX_WORKSPACES);
        PeerDigest {
            target_uses: Vec::new(),
            quota_usage: Vec::new(),
            members: Vec::new(),
            centre_sum: Some(sum),
            ..digest.clone()
        }
    }

    /// Builds a digest with at most so many peer addresses and suspected requests.
    fn build_digest(&mut self, members: usize, suspects: usize, now: Instant) -> PeerDigest {
        self.sequence += 1;
        let age = |since: Instant| {
            u32::try_from(now.saturating_duration_since(since).as_millis()).unwrap_or(u32::MAX)
        };
        let mut target_uses = Vec::new();
        for (target, state) in &self.targets {
            let in_flight = self.scheduler.slot_usage(target).map_or(0, |used| used.in_flight);
            let load = state.load.as_ref().and_then(|(one, reported_at)| {
                let recent = now.saturating_duration_since(*reported_at) < MAX_LOAD_AGE;
                one.load
                    .filter(|_| recent)
                    .map(|load| ReportedLoad { age_ms: age(*reported_at), ..load })
            });
            if in_flight > 0 || load.is_some() {
                let in_flight = u16::try_from(in_flight).unwrap_or(u16::MAX);
                target_uses.push(TargetUse { target: name_key(target), in_flight, load });
            }
        }
        let mut quota_usage = self.quotas.sums(now);
        quota_usage.sort_unstable_by_key(|sum| std::cmp::Reverse(sum.units));
        quota_usage.truncate(MAX_WORKSPACES);
        let suspects = self.scheduler.suspects_for_digest(suspects, now);
        self.members.record_sent(self.sequence, &target_uses, &quota_usage);
        let mut leaving_restart_ids = self.directory.recently_leaving(LEAVING_REPORT_TIME, now);
        keep_next_round(&mut leaving_restart_ids, MAX_LEAVING, self.sequence);
        let mut rates = self.directory.rate_notices(LIMIT_END_REPORT_TIME, now);
        keep_next_round(&mut rates, MAX_LIMITS, self.sequence);
        let mut rejection_limits = self.directory.rejection_notices(LIMIT_END_REPORT_TIME, now);
        keep_next_round(&mut rejection_limits, MAX_LIMITS, self.sequence);
        PeerDigest {
            vm: self.settings.vm.clone(),
            data_centre: name_key(&self.settings.data_centre),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            operator_position: self.operator_state.position(),
            operator_version: self.operator_state.version(),
            operator_age_ms: self.operator_confirmed.map(age),
            listing_age_ms: self.directory.age(now).and_then(|age| age.as_millis().try_into().ok()),
            listing_hash: self.directory.hash(),
            target_uses,
            quota_usage,
            centre_sum: None,
            unknown_usage_ms: self.quotas.unknown_span(now).as_millis() as u32,
            suspects,
            leaving_restart_ids,
            fleet_time_ms: self.clock.time(now).as_millis() as u64,
            rates,
            rejection_limits,
            former_usage: self.members.next_former_usage(now),
            is_answer: false,
            requests_sums: false,
            met: u32::try_from(self.members.met()).unwrap_or(u32::MAX),
            members: self.members.next_named(members),
            relay: self.next_relay_offer(now),
        }
    }
}

/// Keeps at most `most` items of a list: those whose turn it is at this sequence number, in rotation.
fn keep_next_round<T>(items: &mut Vec<T>, most: usize, sequence: u64) {
    if items.len() > most {
        let round = sequence % items.len().div_ceil(most) as u64;
        items.rotate_left(round as usize * most);
        items.truncate(most);
    }
}
