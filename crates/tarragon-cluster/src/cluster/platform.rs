//! Configuration and VM list: when the platform is called, and what its and peers' answers change.

use super::*;
use crate::{
    publication::OfferOutcome,
    reader::{READ_AFTER_SILENCE, ReadKind, ReaderView},
    vm_list::ListOutcome,
};

/// Members of each data centre that watch the platform.
pub(super) const READERS: usize = 2;

/// Where a configuration came from.
#[derive(Debug, Clone, PartialEq, Eq)]
enum OfferSource {
    /// The platform, as answer to a call of this kind.
    Platform(ReadKind),
    /// A peer.
    Peer(PeerAddress),
}

impl Cluster {
    pub(super) fn read_platform(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        let heard = self.members.last_heard().unwrap_or(self.started);
        let silent = now.saturating_duration_since(heard) >= READ_AFTER_SILENCE;
        let behind = self
            .list_behind_since
            .is_some_and(|since| now.saturating_duration_since(since) >= READ_AFTER_SILENCE);
        let view = ReaderView {
            is_reader: self.is_reader,
            reads_alone: !self.is_reader && (silent || behind),
            configuration: self.publication.judged_version(),
            vm_list: self.vm_list.version(),
        };
        let reads = self.reader.due(now, &view, &mut self.random);
        actions.extend(reads.into_iter().map(ClusterAction::ReadPlatform));
    }

    pub(super) fn take_platform_answer(
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
        self.reader.ended(read, fault, now, &mut self.random);
        let kind = ReadKind::of(read);
        match answer {
            PlatformAnswer::Failed(_) => {}
            PlatformAnswer::Unchanged => self.reader.useful(kind),
            PlatformAnswer::Manifest(manifest) => {
                let outcome = self.publication.offer_manifest(manifest);
                self.take_outcome(now, OfferSource::Platform(kind), outcome, actions);
            }
            PlatformAnswer::Parts(parts) => {
                let outcome = self.publication.offer_parts(parts);
                self.take_outcome(now, OfferSource::Platform(kind), outcome, actions);
            }
            PlatformAnswer::VmList(list) => {
                let watched = matches!(read, PlatformRead::WatchVmList(_));
                let outcome = self.vm_list.offer(list);
                self.pace_list(now, outcome, watched);
                self.take_list_outcome(now, outcome);
            }
        }
        self.update_service(now, actions);
    }

    fn pace_list(&mut self, now: Instant, outcome: ListOutcome, watched: bool) {
        match outcome {
            ListOutcome::Applied => self.reader.useful(ReadKind::VmList),
            ListOutcome::Known if !watched => self.reader.useful(ReadKind::VmList),
            _ => self.reader.postpone(ReadKind::VmList, now, &mut self.random),
        }
    }

    pub(super) fn take_transfer(
        &mut self,
        now: Instant,
        peer: PeerAddress,
        transfer: ConfigurationTransfer,
        actions: &mut Vec<ClusterAction>,
    ) {
        self.configuration_pull.take_if(|pull| pull.peer.address == peer.address);
        let outcome = self.publication.offer_transfer(transfer);
        self.take_outcome(now, OfferSource::Peer(peer), outcome, actions);
        self.update_service(now, actions);
    }

    fn take_outcome(
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
                self.reader.useful(ReadKind::Manifest);
                self.reader.want_parts(names);
            }
            OfferOutcome::Invalid(version, findings) => {
                actions.push(ClusterAction::ConfigurationRefused(version, findings));
            }
            OfferOutcome::Mismatch => self.offer_mismatched(now, source, 0, actions),
            OfferOutcome::WrongBase(base) => {
                let have = self.publication.version_below(base);
                self.offer_mismatched(now, source, have, actions);
            }
            OfferOutcome::Known | OfferOutcome::Older => self.offer_was_not_newer(now, &source),
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
                self.reader.useful(ReadKind::Manifest);
                self.reader.useful(ReadKind::Parts);
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

    /// A configuration from another data centre has not been announced in this one.
    fn is_remote(&self, peer: &PeerAddress) -> bool {
        self.members.get(&peer.vm).is_some_and(|m| m.data_centre != self.settings.data_centre)
    }

    fn offer_was_not_newer(&mut self, now: Instant, source: &OfferSource) {
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

    fn offer_mismatched(
        &mut self,
        now: Instant,
        source: OfferSource,
        have: ConfigurationVersion,
        actions: &mut Vec<ClusterAction>,
    ) {
        match source {
            OfferSource::Platform(kind) => {
                self.reader.postpone(kind, now, &mut self.random);
                self.reader.want_manifest();
            }
            OfferSource::Peer(peer) => {
                self.configuration_pull = Some(PullUnderWay { peer: peer.clone(), since: now });
                actions.push(ClusterAction::PullConfiguration(peer, have));
            }
        }
    }

    pub(super) fn take_list_transfer(
        &mut self,
        now: Instant,
        peer: PeerAddress,
        transfer: VmListTransfer,
        actions: &mut Vec<ClusterAction>,
    ) {
        self.list_pull.take_if(|pull| pull.peer.address == peer.address);
        let outcome = self.vm_list.offer_transfer(transfer);
        if outcome == ListOutcome::WrongBase {
            self.list_pull = Some(PullUnderWay { peer: peer.clone(), since: now });
            actions.push(ClusterAction::PullVmList(peer, 0));
        }
        self.take_list_outcome(now, outcome);
        self.update_service(now, actions);
    }

    fn take_list_outcome(&mut self, now: Instant, outcome: ListOutcome) {
        if outcome == ListOutcome::Applied {
            self.list_behind_since = None;
            self.members.apply_list(&self.vm_list, now);
            self.refresh_views(now);
        }
    }

    /// Takes over the targets of this data centre from the configuration, or from the settings.
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
