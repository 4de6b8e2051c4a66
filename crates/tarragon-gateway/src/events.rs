//! Splits a stream of server-sent events into whole events without changing their bytes.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes. A target that sends more in one event is at fault.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event as it came, with its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub number: Option<u64>,
}

/// An event is larger than the splitter holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// Collects bytes and gives whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES + bytes.len() {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// The next whole event, if one is there.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let number = event_number(&bytes);
        Some(RawEvent { bytes, number })
    }

    /// Whether bytes of an event that is not whole are left.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Position behind the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        let buffer = &self.buffer;
        let mut line_start = self.searched;
        loop {
            let Some(offset) = buffer[line_start..].iter().position(|byte| *byte == b'\n') else {
                self.searched = line_start;
                return None;
            };
            let line = &buffer[line_start..line_start + offset];
            let next = line_start + offset + 1;
            if line.is_empty() || line == b"\r" {
                return Some(next);
            }
            line_start = next;
        }
    }
}

/// Value of the event's `id` field.
fn event_number(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
