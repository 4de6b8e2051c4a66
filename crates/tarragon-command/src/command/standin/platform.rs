//! `standin platform`: a configuration service and a VM list that publish the content of files and follow
//! their changes.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use anyhow::{Context, ensure};
use bpaf::Bpaf;
use tarragon_config::{
    publication::{build_manifest, split_rules, targets_part},
    rules::parse_rules,
};
use tarragon_protocol::platform::{ListedVm, TargetList};
use tarragon_standin::{
    configuration_service::{self, ConfigurationHandle, ConfigurationSettings},
    vm_list::{self, VmListHandle, VmListSettings},
};
use tokio::time::sleep;

/// Interval at which the files are read again.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Run a configuration service and a VM list that publish files
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("platform"))]
pub(crate) struct PlatformArguments {
    /// Address of the configuration service
    #[bpaf(long, argument("IP:PORT"))]
    configuration_service: SocketAddr,
    /// Address of the VM list
    #[bpaf(long, argument("IP:PORT"))]
    vm_list: SocketAddr,
    /// Rules file
    #[bpaf(long, argument("RULES"))]
    rules: PathBuf,
    /// JSON file with a list of {"data_centre", "targets"}
    #[bpaf(long, argument("FILE"))]
    targets: PathBuf,
    /// JSON file with a list of VMs
    #[bpaf(long, argument("FILE"))]
    vms: PathBuf,
    /// Version of the first configuration; each change adds 1
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    first_version: u64,
}

/// What was published last.
struct PlatformPublisher {
    arguments: PlatformArguments,
    configuration: ConfigurationHandle,
    vms: VmListHandle,
    next_version: u64,
    last_parts: Vec<(String, String)>,
    last_vms: Vec<ListedVm>,
}

impl PlatformPublisher {
    /// Publishes what has changed in the files.
    fn follow(&mut self) -> anyhow::Result<()> {
        let parts = self.read_parts()?;
        if parts != self.last_parts {
            let manifest = build_manifest(self.next_version, &parts);
            self.configuration.publish(&manifest, &parts)?;
            tracing::info!(version = self.next_version, parts = parts.len(), "published");
            self.next_version += 1;
            self.last_parts = parts;
        }
        let vms: Vec<ListedVm> = read_json(&self.arguments.vms)?;
        if vms != self.last_vms {
            self.vms.set(vms.clone());
            tracing::info!(vms = vms.len(), "VM list changed");
            self.last_vms = vms;
        }
        Ok(())
    }

    fn read_parts(&self) -> anyhow::Result<Vec<(String, String)>> {
        let path = &self.arguments.rules;
        let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let (_, findings) = parse_rules(&[(&path.display().to_string(), &text)]);
        ensure!(findings.is_empty(), "the rules are not published:\n{findings}");
        let lists: Vec<TargetList> = read_json(&self.arguments.targets)?;
        let mut parts = split_rules(&text);
        parts.extend(lists.iter().map(targets_part));
        Ok(parts)
    }
}

fn read_json<T>(path: &Path) -> anyhow::Result<T>
where
    T: for<'text> serde::Deserialize<'text>,
{
    let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
    serde_json::from_str(&text).with_context(|| path.display().to_string())
}

pub(crate) async fn execute(arguments: PlatformArguments) -> anyhow::Result<ExitCode> {
    let configuration = ConfigurationSettings {
        bind: arguments.configuration_service,
        ..ConfigurationSettings::default()
    };
    let vms = VmListSettings { bind: arguments.vm_list, ..VmListSettings::default() };
    let mut publisher = PlatformPublisher {
        configuration: configuration_service::start(configuration).await?,
        vms: vm_list::start(vms).await?,
        next_version: arguments.first_version,
        last_parts: Vec::new(),
        last_vms: Vec::new(),
        arguments,
    };
    publisher.follow()?;
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        () = follow_files(&mut publisher) => {}
    }
    Ok(ExitCode::SUCCESS)
}

/// Follows the files for ever. A file with faults keeps what was published.
async fn follow_files(publisher: &mut PlatformPublisher) {
    let mut last_fault = String::new();
    loop {
        sleep(FOLLOW_INTERVAL).await;
        let fault = publisher.follow().err().map(|error| format!("{error:#}")).unwrap_or_default();
        if !fault.is_empty() && fault != last_fault {
            tracing::warn!(fault, "the files can't be published");
        }
        last_fault = fault;
    }
}
