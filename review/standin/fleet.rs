//! A small deployment: entry VMs as processes of the project's program, each with a loopback address of its own.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{Record, call, message_text},
    store::Store,
};

const PROGRAM: &str = "target/release/tarragonfront";
/// Grace period of the users' sheets.
pub const GRACE_S: u64 = 8;

/// A loopback network of this case, from the process id.
pub fn network() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 16 + (id >> 8) % 200, id % 250 + 1)
}

pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

pub struct Fleet {
    pub vms: Vec<Vm>,
    record: Record,
    folder: PathBuf,
}

impl Fleet {
    /// Starts one process for each name and zone. All use the same ports.
    pub fn start(
        names: &[(&str, &str)],
        network: &str,
        store: &Store,
        folder: &str,
        record: &Record,
    ) -> Fleet {
        let folder = PathBuf::from(folder);
        let ips: Vec<String> =
            (0..names.len()).map(|place| format!("{network}.{}", 10 + place)).collect();
        let ports = free_ports(&ips);
        let seeds: Vec<String> =
            ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", ports.2)).collect();
        let (mut vms, mut later) = (Vec::new(), Vec::new());
        for ((name, zone), ip) in names.iter().zip(&ips) {
            // The fields of `deploy/settings.jsonc`, with the bounds of the users' sheets.
            let text = |first: &str| {
                format!(
                    "{{\n  \"vm\": \"{name}\",\n  \"data_centre\": \"{zone}\",\n  \"caller_address\": \"{ip}:{}\",\n  \
                     \"ready_address\": \"{ip}:{}\",\n  \"peer_ports\": [{}, {}],\n  \"seeds\": [{}],\n  \
                     \"store_address\": \"{}\",\n  {first}\"log_format\": \"json\",\n  \"grace_s\": {GRACE_S},\n  \
                     \"heartbeat_ms\": 1200,\n  \"bounds\": {{\"retry_ratio\": 0.2, \"retry_slack\": 52, \
                     \"quota_window_s\": 8, \"quota_overage\": 0.25, \"quota_slack\": 190000}}\n}}\n",
                    ports.0,
                    ports.1,
                    ports.3,
                    ports.3 + 15,
                    seeds.join(", "),
                    store.address
                )
            };
            let settings = folder.join(format!("{name}.jsonc"));
            fs::write(&settings, text("\"first_start\": true,\n  ")).unwrap();
            let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
            let mut vm = Vm {
                name: (*name).to_owned(),
                front: address(ports.0),
                ready: address(ports.1),
                settings: settings.clone(),
                folder: folder.clone(),
                child: None,
                starts: 0,
            };
            vm.spawn();
            later.push((settings, text("")));
            vms.push(vm);
        }
        let fleet = Fleet { vms, record: record.clone(), folder };
        fleet.wait_ready(Duration::from_secs(10));
        for (settings, text) in later {
            let new = settings.with_extension("new");
            fs::write(&new, text).unwrap();
            fs::rename(&new, &settings).unwrap();
        }
        fleet
    }

    pub fn wait_ready(&self, limit: Duration) {
        let end = Instant::now() + limit;
        for vm in &self.vms {
            while !vm.is_ready() {
                if Instant::now() > end {
                    self.record.line(&format!("{} isn't ready", vm.name));
                    self.fail();
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all processes are ready");
    }

    /// Ends the case, which couldn't run.
    fn fail(&self) -> ! {
        let ids = self.vms.iter().filter_map(|vm| vm.child.as_ref()).map(Child::id);
        for id in ids {
            signal(id, "KILL");
        }
        std::process::exit(2);
    }

    pub fn stop(&mut self) {
        for vm in &mut self.vms {
            vm.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Vm {
    pub fn spawn(&mut self) {
        self.starts += 1;
        let log =
            File::create(self.folder.join(format!("{}-{}.log", self.name, self.starts))).unwrap();
        let child = Command::new(PROGRAM)
            .args(["serve", self.settings.to_str().unwrap()])
            .env("TARRAGONFRONT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("{PROGRAM} can't be started: {error}");
                std::process::exit(2);
            }
        }
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            signal(child.id(), name);
        }
    }

    /// Ends the process at once, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let request = message_text(
            "GET /-/readyz HTTP/1.1",
            &[("Host", "ready"), ("Connection", "close")],
            b"",
        );
        call(self.ready, &request, Duration::from_millis(500)).status() == 200
    }

    /// Lines of the process's logs that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let logs =
            (1..=self.starts).map(|start| self.folder.join(format!("{}-{start}.log", self.name)));
        let whole: String = logs.filter_map(|path| fs::read_to_string(path).ok()).collect();
        whole.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

pub fn signal(id: u32, name: &str) {
    let _ = Command::new("sh").args(["-c", &format!("kill -s {name} {id}")]).status();
}

/// Ports that are free at all addresses: for callers, readiness and control, and the first of 16 for peers.
fn free_ports(ips: &[String]) -> (u16, u16, u16, u16) {
    let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
    let mut base = 20_000 + (std::process::id() % 400) as u16 * 20;
    while !(base..base + 20).all(is_free) {
        base += 20;
    }
    (base, base + 1, base + 2, base + 4)
}
