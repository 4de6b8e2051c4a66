//! A process of the binary, with a store of its own.

use std::{
    fs::File,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use serde_json::{Value, json};
use tarragon_standin::shared_store::SharedStore;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};

use crate::wire::*;

/// A process of the binary that logs to a file. It is killed when it is dropped.
pub struct ServedProcess {
    pub child: Child,
    /// Folder of its settings and its log.
    pub folder: PathBuf,
    pub caller: SocketAddr,
    _store: SharedStore,
}

impl ServedProcess {
    /// Starts a process that reads the store, with further settings, and waits until it is ready.
    pub async fn start(name: &str, store: SharedStore, further: Value) -> ServedProcess {
        let folder = std::env::temp_dir().join(format!("tarragon-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let ip = unique_loopback_ip();
        let address = |port: u16| SocketAddr::from((ip, port));
        let mut settings = json!({
            "vm": "vm-1", "data_centre": "north",
            "caller_address": address(7_598), "ready_address": address(7_599),
            "peer_ports": [7_600, 7_615], "seeds": [], "store_address": store.address(),
            "first_start": true, "log_format": "json", "grace_s": 4.0,
        });
        settings.as_object_mut().unwrap().extend(further.as_object().unwrap().clone());
        let settings_file = folder.join("settings.jsonc");
        std::fs::write(&settings_file, settings.to_string()).unwrap();
        let log = File::create(folder.join("vm-1.log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_tarragonfront"))
            .arg("serve")
            .arg(&settings_file)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let process = ServedProcess { child, folder, caller: address(7_598), _store: store };
        process.wait_until_ready(address(7_599)).await;
        process
    }

    async fn wait_until_ready(&self, address: SocketAddr) {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            if TcpStream::connect(address).await.is_ok() {
                let page = "GET /-/readyz HTTP/1.1\nhost: x\nconnection: close\n\n";
                if status(&send(address, page).await) == 200 {
                    return;
                }
            }
            assert!(Instant::now() < end, "the process is not ready in time");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for ServedProcess {
    fn drop(&mut self) {
        // Failures are ignored: the process has already ended, or the folder is already removed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
