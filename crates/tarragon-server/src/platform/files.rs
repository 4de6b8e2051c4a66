//! Published values without a platform: the rules file and the targets of the settings take the place
//! of the configuration service, the seed peers that of the VM list. A changed rules file is a new
//! version.

use std::{sync::Arc, time::Duration};

use tarragon_cluster::event::{PlatformAnswer, PlatformFault, PlatformRead};
use tarragon_config::{
    publication::{build_manifest, content_hash, split_rules, targets_part},
    settings::ServeSettings,
};
use tarragon_protocol::{
    platform::{ListedVm, TargetList, VmList, VmState},
    prelude::*,
};
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

/// Interval at which the rules file is read again.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time of a watch without a change, as at the configuration service.
const WATCH_LIMIT: Duration = Duration::from_secs(30);
/// Version of the VM list that the settings give.
const LIST_VERSION: u64 = 1;

/// Addresses that the process has bound; the settings may have left the ports open.
#[derive(Debug, Clone)]
pub struct OwnAddresses {
    /// For callers.
    pub caller: String,
    /// For other entry VMs.
    pub peer: String,
}

/// The process's own files as a platform.
pub struct FilePlatform {
    settings: Arc<ServeSettings>,
    own: OwnAddresses,
    published: Mutex<PublishedFiles>,
}

#[derive(Default)]
struct PublishedFiles {
    version: ConfigurationVersion,
    hash: String,
    parts: Vec<(String, String)>,
}

impl FilePlatform {
    /// A platform made of the settings' files.
    pub fn new(settings: Arc<ServeSettings>, own: OwnAddresses) -> FilePlatform {
        FilePlatform { settings, own, published: Mutex::default() }
    }

    /// Reads a value or waits for its change.
    pub async fn read(&self, read: &PlatformRead) -> PlatformAnswer {
        match read {
            PlatformRead::Manifest => self.manifest_above(0).await,
            PlatformRead::WatchManifest(version) => self.watch_manifest(*version).await,
            PlatformRead::Parts(names) => self.parts(names).await,
            PlatformRead::VmList => PlatformAnswer::VmList(self.vm_list()),
            PlatformRead::WatchVmList(version) if *version < LIST_VERSION => {
                PlatformAnswer::VmList(self.vm_list())
            }
            PlatformRead::WatchVmList(_) => {
                sleep(WATCH_LIMIT).await;
                PlatformAnswer::Unchanged
            }
        }
    }

    async fn watch_manifest(&self, version: ConfigurationVersion) -> PlatformAnswer {
        let end = Instant::now() + WATCH_LIMIT;
        loop {
            match self.manifest_above(version).await {
                PlatformAnswer::Unchanged if Instant::now() < end => sleep(READ_INTERVAL).await,
                answer => return answer,
            }
        }
    }

    async fn manifest_above(&self, version: ConfigurationVersion) -> PlatformAnswer {
        let mut published = self.published.lock().await;
        let Ok(parts) = self.read_parts().await else {
            return PlatformAnswer::Failed(PlatformFault::Unreachable);
        };
        let hash = parts_hash(&parts);
        if hash != published.hash {
            let version = published.version + 1;
            *published = PublishedFiles { version, hash, parts };
        }
        if published.version <= version {
            return PlatformAnswer::Unchanged;
        }
        PlatformAnswer::Manifest(build_manifest(published.version, &published.parts))
    }

    async fn parts(&self, names: &[String]) -> PlatformAnswer {
        let published = self.published.lock().await;
        let find = |name: &String| {
            let (_, text) = published.parts.iter().find(|(other, _)| other == name)?;
            Some((name.clone(), text.as_str().into()))
        };
        let parts: Option<Vec<_>> = names.iter().map(find).collect();
        parts.map_or(PlatformAnswer::Failed(PlatformFault::Malformed), PlatformAnswer::Parts)
    }

    async fn read_parts(&self) -> std::io::Result<Vec<(String, String)>> {
        let mut parts = match &self.settings.rules_file {
            None => Vec::new(),
            Some(path) => {
                let text = tokio::fs::read_to_string(path).await.inspect_err(|error| {
                    tracing::warn!(path = %path.display(), %error, "the rules file can't be read");
                })?;
                split_rules(&text)
            }
        };
        let targets = self.settings.targets.clone();
        let data_centre = self.settings.data_centre.clone();
        parts.push(targets_part(&TargetList { data_centre, targets }));
        Ok(parts)
    }

    fn vm_list(&self) -> VmList {
        let own = ListedVm {
            vm: self.settings.vm.clone(),
            data_centre: self.settings.data_centre.clone(),
            caller_address: self.own.caller.clone(),
            peer_address: self.own.peer.clone(),
            state: VmState::Live,
            generation: 1,
        };
        let peers = self.settings.seed_peers.iter().map(|peer| ListedVm {
            vm: peer.vm.clone(),
            data_centre: peer.data_centre.clone(),
            caller_address: String::new(),
            peer_address: peer.address.to_string(),
            state: VmState::Live,
            generation: 1,
        });
        VmList { version: LIST_VERSION, vms: std::iter::once(own).chain(peers).collect() }
    }
}

fn parts_hash(parts: &[(String, String)]) -> String {
    let whole: String = parts.iter().flat_map(|(name, text)| [name.as_str(), "\n", text]).collect();
    content_hash(&whole)
}
