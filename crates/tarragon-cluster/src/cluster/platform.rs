//! Configuration and VM list: when to call the platform, and how to handle its answers and those of
//! peers.

use super::*;
use crate::{
    publication::OfferOutcome,
    reader::{DIRECT_READ_AFTER_SILENCE, ReadKind, ReaderInput},
    vm_list::ListOutcome,
};

/// Number of members of each data centre that watch the platform.
pub(super) const READER_COUNT: usize = 2;

/// Source of an offered configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
enum OfferSource {
    /// The platform, in answer to a call of this kind.
    Platform(ReadKind),
    /// A peer.
    Peer(PeerAddress),
}

impl Cluster {
    pub(super) fn read_platform(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        let heard = self.members.last_heard().unwrap_or(self.started);
        let silent = now.saturating_duration_since(heard) >= DIRECT_READ_AFTER_SILENCE;
        let behind = self
            .list_behind_since
            .is_some_and(|since| now.saturating_duration_since(since) >= DIRECT_READ_AFTER_SILENCE);
        let view = ReaderInput {
            is_reader: self.is_reader,
            reads_without_peers: !self.is_reader && (silent || behind),
            configuration: self.publication.highest_checked_version(),
            vm_list: self.vm_list.version(),
        };
        let reads = self.reader.due_calls(now, &view, &mut self.random);
        actions.extend(reads.into_iter().map(ClusterAction::ReadPlatform));
    }

    pub(super) fn handle_platform_answer(
        &mut self,
        now: Instant,
        read: &PlatformRead,
        answer: PlatformAnswer,
        actions: &mut Vec<ClusterAction>,
    ) {
        let fault = match &answer {
            PlatformAnswer::Failed(fault) => Some(*fault),
            _ => None,
        };
        self.reader.record_end(read, fault, now, &mut self.random);
        let kind = ReadKind::of(read);
        match answer {
            PlatformAnswer::Failed(_) => {}
            PlatformAnswer::Unchanged => self.reader.reset_failures(kind),
            PlatformAnswer::Manifest(manifest) => {
                let outcome = self.publication.offer_manifest(manifest);
                self.handle_offer_outcome(now, OfferSource::Platform(kind), outcome, actions);
            }
            PlatformAnswer::Parts(parts) => {
                let outcome = self.publication.offer_parts(parts);
                self.handle_offer_outcome(now, OfferSource::Platform(kind), outcome, actions);
            }
            PlatformAnswer::VmList(list) => {
                let watched = matches!(read, PlatformRead::WatchVmList(_));
                let outcome = self.vm_list.offer(list);
                self.adjust_list_pacing(now, outcome, watched);
                self.handle_list_outcome(now, outcome);
            }
        }
        self.update_service(now, actions);
    }

    fn adjust_list_pacing(&mut self, now: Instant, outcome: ListOutcome, watched: bool) {
        match outcome {
            ListOutcome::Applied => self.reader.reset_failures(ReadKind::VmList),
            ListOutcome::Known if !watched => self.reader.reset_failures(ReadKind::VmList),
            _ => self.reader.postpone(ReadKind::VmList, now, &mut self.random),
        }
    }

    pub(super) fn handle_configuration(
        &mut self,
        now: Instant,
        peer: PeerAddress,
        transfer: ConfigurationTransfer,
        actions: &mut Vec<ClusterAction>,
    ) {
        self.configuration_pull.take_if(|pull| pull.peer.address == peer.address);
        let outcome = self.publication.offer_transfer(transfer);
        self.handle_offer_outcome(now, OfferSource::Peer(peer), outcome, actions);
        self.update_service(now, actions);
    }

    fn handle_offer_outcome(
        &mut self,
        now: Instant,
        source: OfferSource,
        outcome: OfferOutcome,
        actions: &mut Vec<ClusterAction>,
    ) {
        match outcome {
            OfferOutcome::Applied(configuration) => {
                self.configuration_applied(now, &source, configuration, actions);
            }
            OfferOutcome::NeedsParts(names) => {
                self.reader.reset_failures(ReadKind::Manifest);
                self.reader.request_parts(names);
            }
            OfferOutcome::Invalid(version, findings) => {
                actions.push(ClusterAction::ConfigurationRefused(version, findings));
            }
            OfferOutcome::Mismatch => self.handle_mismatch(now, source, 0, actions),
            OfferOutcome::WrongBase(base) => {
                let have = self.publication.version_below(base);
                self.handle_mismatch(now, source, have, actions);
            }
            OfferOutcome::Known | OfferOutcome::Older => self.handle_not_newer(now, &source),
        }
    }

    fn configuration_applied(
        &mut self,
        now: Instant,
        source: &OfferSource,
        configuration: Arc<Configuration>,
        actions: &mut Vec<ClusterAction>,
    ) {
        actions.push(ClusterAction::ConfigurationApplied(configuration));
        self.install_targets(now);
        match source {
            OfferSource::Platform(_) => {
                self.reader.reset_failures(ReadKind::Manifest);
                self.reader.reset_failures(ReadKind::Parts);
                self.announce_version(now, actions);
            }
            OfferSource::Peer(peer) => {
                self.peer_checked = true;
                self.paused = false;
                if self.is_remote(peer) {
                    self.announce_version(now, actions);
                }
            }
        }
    }

    /// Whether the peer belongs to another data centre. A configuration from there has not been announced
    /// in this one.
    fn is_remote(&self, peer: &PeerAddress) -> bool {
        self.members.get(&peer.vm).is_some_and(|m| m.data_centre != self.settings.data_centre)
    }

    fn handle_not_newer(&mut self, now: Instant, source: &OfferSource) {
        match source {
            OfferSource::Platform(kind) => {
                self.reader.postpone(*kind, now, &mut self.random);
            }
            OfferSource::Peer(_) => {
                self.peer_checked = true;
                self.paused = false;
            }
        }
    }

    fn handle_mismatch(
        &mut self,
        now: Instant,
        source: OfferSource,
        have: ConfigurationVersion,
        actions: &mut Vec<ClusterAction>,
    ) {
        match source {
            OfferSource::Platform(kind) => {
                self.reader.postpone(kind, now, &mut self.random);
                self.reader.request_manifest();
            }
            OfferSource::Peer(peer) => {
                self.configuration_pull = Some(PendingPull { peer: peer.clone(), since: now });
                actions.push(ClusterAction::PullConfiguration(peer, have));
            }
        }
    }

    pub(super) fn handle_vm_list(
        &mut self,
        now: Instant,
        peer: PeerAddress,
        transfer: VmListTransfer,
        actions: &mut Vec<ClusterAction>,
    ) {
        self.list_pull.take_if(|pull| pull.peer.address == peer.address);
        let outcome = self.vm_list.offer_transfer(transfer);
        if outcome == ListOutcome::WrongBase {
            self.list_pull = Some(PendingPull { peer: peer.clone(), since: now });
            actions.push(ClusterAction::PullVmList(peer, 0));
        }
        self.handle_list_outcome(now, outcome);
        self.update_service(now, actions);
    }

    fn handle_list_outcome(&mut self, now: Instant, outcome: ListOutcome) {
        if outcome == ListOutcome::Applied {
            self.list_behind_since = None;
            self.members.apply_list(&self.vm_list, now);
            self.refresh_views(now);
        }
    }

    /// Replaces the targets of this data centre with those of the configuration, or with the static ones
    /// if it publishes none.
    pub(super) fn install_targets(&mut self, now: Instant) {
        let targets = self.own_targets();
        self.loads.set_targets(&targets, now);
        self.slots.set_targets(targets.iter().map(|target| &target.target));
        self.assign_roles(now);
    }

    pub(super) fn own_targets(&self) -> Vec<PublishedTarget> {
        let own = &self.settings.data_centre;
        let published = self.publication.current().into_iter().flat_map(|current| &current.targets);
        let published: Vec<&TargetList> =
            published.filter(|list| list.data_centre == *own).collect();
        let lists = if published.is_empty() {
            self.settings.static_targets.iter().filter(|list| list.data_centre == *own).collect()
        } else {
            published
        };
        lists.into_iter().flat_map(|list| list.targets.iter().cloned()).collect()
    }
}
