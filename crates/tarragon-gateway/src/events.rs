//! Splits a stream of server-sent events into whole events without changing their bytes.

use bytes::{Bytes, BytesMut};

/// Largest event: several hundred times the largest event in the users' specifications. A target that
/// exceeds it does not send events. Each stream buffers up to this much.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// One event, unchanged, with its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Its bytes, including the blank line that ends it.
    pub bytes: Bytes,
    /// Value of its `id` field, if that is a number.
    pub number: Option<u64>,
}

impl RawEvent {
    /// Whether it brings nothing: it holds comments only, which keep a connection alive.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
    }
}

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the current line.
    line_start: usize,
    /// Start of the bytes that have not been searched for the end of that line.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES + bytes.len() {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = self.find_event_end()?;
        (self.line_start, self.searched) = (0, 0);
        let bytes = self.buffer.split_to(end).freeze();
        let number = event_number(&bytes);
        Some(RawEvent { bytes, number })
    }

    /// Bytes that have not been taken as events.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds bytes of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Position after the first blank line.
    fn find_event_end(&mut self) -> Option<usize> {
        loop {
            let unsearched = &self.buffer[self.searched..];
            let Some(offset) = unsearched.iter().position(|byte| *byte == b'\n') else {
                self.searched = self.buffer.len();
                return None;
            };
            let end = self.searched + offset;
            let line = &self.buffer[self.line_start..end];
            if line.is_empty() || line == b"\r" {
                return Some(end + 1);
            }
            (self.line_start, self.searched) = (end + 1, end + 1);
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
