//! Reads what the platform publishes: the configuration service and the VM list, or, without a
//! platform, the process's own files.

pub mod files;
pub mod remote;

use std::sync::Arc;

use tarragon_cluster::event::{PlatformAnswer, PlatformRead};

use crate::{settings::ServeSettings, target::pool::ConnectionPool};
use files::FilePlatform;
use remote::RemotePlatform;

/// Where published values come from.
#[derive(Clone)]
pub enum PlatformClient {
    /// The platform's interfaces.
    Remote(RemotePlatform),
    /// A rules file and targets of the settings.
    Files(Arc<FilePlatform>),
}

impl PlatformClient {
    /// The source that the settings name.
    pub fn new(settings: Arc<ServeSettings>, own: files::OwnAddresses) -> PlatformClient {
        match settings.platform {
            Some(addresses) => {
                let pool = ConnectionPool::default();
                PlatformClient::Remote(RemotePlatform::new(addresses, pool))
            }
            None => PlatformClient::Files(Arc::new(FilePlatform::new(settings, own))),
        }
    }

    /// Reads a value or waits for its change, within a time limit.
    pub async fn read(&self, read: &PlatformRead) -> PlatformAnswer {
        match self {
            PlatformClient::Remote(remote) => remote.read(read).await,
            PlatformClient::Files(files) => files.read(read).await,
        }
    }
}
