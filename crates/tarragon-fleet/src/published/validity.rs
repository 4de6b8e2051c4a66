//! Checks of registrations, which may come from any writer.

use std::{net::SocketAddr, time::Duration};

use crate::prelude::*;

/// Most slots of a target. Digests count the requests in flight at a target up to this number.
const MAX_SLOTS: u32 = 65_535;
/// Longest time for which a target counts as cold. Targets warm up within seconds or minutes.
pub(super) const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);

impl ListedTarget {
    /// Why the entry names no target to use; `None` if it does.
    pub fn fault(&self) -> Option<&'static str> {
        let Ok(address) = self.address.parse::<SocketAddr>() else {
            return Some("the address is invalid");
        };
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            return Some("the address can't be connected to");
        }
        // The name is sent in a header.
        if self.instance.is_empty() || !self.instance.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Some("the instance's name is invalid");
        }
        if self.service.is_empty() || self.data_centre.is_empty() {
            return Some("the service or the data centre is empty");
        }
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Some("the number of slots is out of range");
        }
        (self.cold_left > MAX_COLD_TIME).then_some("the remaining cold time is out of range")
    }
}
