//! Loopback addresses for processes of tests.

use std::sync::atomic::{AtomicU32, Ordering};

/// A loopback IP address that only this call returns, so that processes of tests can use the same ports, and no
/// other socket takes a port that has been found free.
pub fn unique_loopback_ip() -> [u8; 4] {
    /// A run of all tests starts more than 256 processes.
    const COUNT_BITS: u32 = 10;
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(count < 1 << COUNT_BITS, "too few addresses for the processes of one run");
    let [_, high, middle, low] = (std::process::id() << COUNT_BITS | count).to_be_bytes();
    [127, high.max(1), middle, low]
}
