//! Memory and descriptors of a process of the binary.

use std::{net::SocketAddr, time::Duration};

use tokio::time::{Instant, sleep};

/// Interval of the samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// State of a listener in the table of connections. Its queue counts connections.
const LISTENING: &str = "0A";

/// Reads what a process uses.
#[derive(Debug, Clone, Copy)]
pub struct ProcessMeter {
    process: u32,
    /// Address at which it accepts connections.
    caller: SocketAddr,
}

/// Highest values that were seen.
#[derive(Debug, Default)]
pub struct PeakUse {
    /// Resident memory and bytes that were received and not read, in KB.
    pub memory_kb: u64,
    pub descriptors: usize,
}

impl ProcessMeter {
    /// Measures a process that accepts connections at an IPv4 address.
    pub fn new(process: u32, caller: SocketAddr) -> ProcessMeter {
        ProcessMeter { process, caller }
    }

    /// A value of `/proc/PID/status`, in KB.
    fn status_kb(&self, name: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process));
        let text = text.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Bytes that callers have sent and the process has not read, in KB.
    fn unread_kb(&self) -> u64 {
        let SocketAddr::V4(caller) = self.caller else { unreachable!("the address is IPv4") };
        let ip = u32::from_ne_bytes(caller.ip().octets());
        let local = format!("{ip:08X}:{:04X}", caller.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let bytes = table.lines().filter_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let [_, own, _, state, queues, ..] = fields[..] else { return None };
            let (_, received) = queues.split_once(':')?;
            (own == local && state != LISTENING).then(|| u64::from_str_radix(received, 16).ok())?
        });
        bytes.sum::<u64>() >> 10
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process)).map_or(0, Iterator::count)
    }

    /// Samples memory and descriptors for some time.
    pub async fn watch(&self, time: Duration) -> PeakUse {
        let end = Instant::now() + time;
        let mut peak = PeakUse::default();
        while Instant::now() < end {
            let memory_kb = self.status_kb("VmRSS:") + self.unread_kb();
            peak.memory_kb = peak.memory_kb.max(memory_kb);
            peak.descriptors = peak.descriptors.max(self.descriptors());
            sleep(SAMPLE_INTERVAL).await;
        }
        peak.memory_kb = peak.memory_kb.max(self.status_kb("VmHWM:"));
        peak
    }
}
