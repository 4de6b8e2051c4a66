//! Fake configuration service and VM list, with outages, old values and lag.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tarragon_cluster::event::{PlatformAnswer, PlatformFault, PlatformRead};
use tarragon_config::publication::content_hash;
use tarragon_protocol::platform::VmList;
use tarragon_protocol::{
    platform::{ConfigurationManifest, ListedVm, ManifestPart, VmState},
    prelude::*,
};

/// Time after which a watch ends without a change.
pub(crate) const WATCH_TIME: Duration = Duration::from_secs(30);

/// How the configuration service behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServiceMode {
    /// Answers with the newest values.
    Up,
    /// Does not answer.
    Down,
    /// Answers with the values of this index of the history.
    Stale(usize),
}

/// A published configuration.
pub(crate) struct Publication {
    /// Manifest.
    pub(crate) manifest: ConfigurationManifest,
    /// Parts by name.
    pub(crate) parts: IndexMap<String, Arc<str>>,
    /// When it was published.
    pub(crate) at: Duration,
}

/// A watch that waits for a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WaitingWatch {
    /// Index of the VM.
    pub(crate) vm: usize,
    /// Process.
    pub(crate) incarnation: Incarnation,
    /// The call.
    pub(crate) read: PlatformRead,
    /// When it ends without a change.
    pub(crate) until: Duration,
}

/// Both services of the platform.
pub(crate) struct FakePlatform {
    /// Behaviour of the configuration service.
    pub(crate) mode: ServiceMode,
    /// Whether the VM list answers.
    pub(crate) list_up: bool,
    /// Delay of changes of the VM list.
    pub(crate) list_lag: Duration,
    /// All publications, the oldest first.
    pub(crate) history: Vec<Publication>,
    /// Waiting watches.
    pub(crate) watches: Vec<WaitingWatch>,
    /// Calls of the configuration service; a waiting watch counts as one.
    pub(crate) calls: u64,
    lists: Vec<(Duration, VmList)>,
}

impl FakePlatform {
    /// A platform with an empty VM list and no configuration.
    pub(crate) fn new(list_lag: Duration) -> FakePlatform {
        FakePlatform {
            mode: ServiceMode::Up,
            list_up: true,
            list_lag,
            history: Vec::new(),
            watches: Vec::new(),
            calls: 0,
            lists: vec![(Duration::ZERO, VmList::default())],
        }
    }

    /// Publishes a configuration with the next version.
    pub(crate) fn publish(
        &mut self,
        now: Duration,
        parts: IndexMap<String, Arc<str>>,
    ) -> ConfigurationVersion {
        let version = self.history.len() as ConfigurationVersion + 1;
        let named = parts
            .iter()
            .map(|(name, text)| ManifestPart { name: name.clone(), hash: content_hash(text) });
        let manifest = ConfigurationManifest { version, parts: named.collect() };
        self.history.push(Publication { manifest, parts, at: now });
        version
    }

    /// A publication by its version.
    pub(crate) fn publication(&self, version: ConfigurationVersion) -> Option<&Publication> {
        self.history.get((version as usize).checked_sub(1)?)
    }

    /// Changes the VM list; readers see it after the lag.
    pub(crate) fn change_list(&mut self, now: Duration, change: impl FnOnce(&mut Vec<ListedVm>)) {
        let (_, last) = &self.lists[self.lists.len() - 1];
        let mut list = last.clone();
        change(&mut list.vms);
        list.version += 1;
        self.lists.push((now + self.list_lag, list));
    }

    /// Sets the state of a VM in the list.
    pub(crate) fn set_state(&mut self, now: Duration, vm: &VmName, state: VmState) {
        self.change_list(now, |vms| {
            for listed in vms.iter_mut().filter(|listed| listed.vm == *vm) {
                listed.state = state;
            }
        });
    }

    /// The VM list as readers see it.
    pub(crate) fn visible_list(&self, now: Duration) -> &VmList {
        let visible = self.lists.iter().rev().find(|(from, _)| *from <= now);
        &visible.unwrap_or(&self.lists[0]).1
    }

    /// Answers a call, or gives nothing if it is a watch that has to wait.
    pub(crate) fn answer(&mut self, now: Duration, read: &PlatformRead) -> Option<PlatformAnswer> {
        let is_list = matches!(read, PlatformRead::VmList | PlatformRead::WatchVmList(_));
        self.calls += u64::from(!is_list);
        self.try_answer(now, read)
    }

    /// Whether the configuration service keeps new versions from its readers.
    pub(crate) fn hinders(&self) -> bool {
        self.mode != ServiceMode::Up
    }

    /// Takes the watches that end now, each with its answer.
    pub(crate) fn ended_watches(&mut self, now: Duration) -> Vec<(WaitingWatch, PlatformAnswer)> {
        let mut ended = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            match self.try_answer(now, &watch.read) {
                Some(answer) => ended.push((watch, answer)),
                None if watch.until <= now => ended.push((watch, PlatformAnswer::Unchanged)),
                None => self.watches.push(watch),
            }
        }
        ended
    }

    fn try_answer(&self, now: Duration, read: &PlatformRead) -> Option<PlatformAnswer> {
        let is_list = matches!(read, PlatformRead::VmList | PlatformRead::WatchVmList(_));
        let up = if is_list { self.list_up } else { self.mode != ServiceMode::Down };
        if !up {
            return Some(PlatformAnswer::Failed(PlatformFault::Unreachable));
        }
        match read {
            PlatformRead::VmList => Some(PlatformAnswer::VmList(self.visible_list(now).clone())),
            PlatformRead::WatchVmList(after) => {
                let list = self.visible_list(now);
                (list.version > *after).then(|| PlatformAnswer::VmList(list.clone()))
            }
            PlatformRead::Manifest => Some(match self.shown() {
                Some(shown) => PlatformAnswer::Manifest(shown.manifest.clone()),
                None => PlatformAnswer::Failed(PlatformFault::Malformed),
            }),
            PlatformRead::WatchManifest(after) => {
                let shown = self.shown()?;
                let newer = shown.manifest.version > *after;
                newer.then(|| PlatformAnswer::Manifest(shown.manifest.clone()))
            }
            PlatformRead::Parts(names) => Some(self.read_parts(names)),
        }
    }

    fn read_parts(&self, names: &[String]) -> PlatformAnswer {
        let Some(shown) = self.shown() else {
            return PlatformAnswer::Failed(PlatformFault::Malformed);
        };
        let found = names
            .iter()
            .filter_map(|name| Some((name.clone(), shown.parts.get(name)?.clone())))
            .collect();
        PlatformAnswer::Parts(found)
    }

    fn shown(&self) -> Option<&Publication> {
        match self.mode {
            ServiceMode::Stale(index) => self.history.get(index).or(self.history.last()),
            ServiceMode::Up | ServiceMode::Down => self.history.last(),
        }
    }
}
