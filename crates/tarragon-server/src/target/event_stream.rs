//! Splits a body of server-sent events into the data of its events.

use bytes::{Buf, BytesMut};

/// Largest event, in bytes. An engine that sends more in one event is at fault.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is larger than the decoder holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// Collects bytes and gives the data of each complete event. Fields other than `data` are ignored, as
/// the engines' interface uses none.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    searched: usize,
    data: String,
    has_data: bool,
}

impl EventDecoder {
    /// Adds bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() + self.data.len() > MAX_EVENT_BYTES + bytes.len() {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Data of the next complete event, if one is there.
    pub fn next_event(&mut self) -> Option<String> {
        while let Some(line) = self.next_line() {
            if line.is_empty() {
                if std::mem::take(&mut self.has_data) {
                    return Some(std::mem::take(&mut self.data));
                }
                continue;
            }
            if let Some(value) = line.strip_prefix("data:") {
                if self.has_data {
                    self.data.push('\n');
                }
                self.data.push_str(value.strip_prefix(' ').unwrap_or(value));
                self.has_data = true;
            }
        }
        None
    }

    fn next_line(&mut self) -> Option<String> {
        let unseen = &self.buffer[self.searched..];
        let Some(offset) = unseen.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let end = self.searched + offset;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        self.searched = 0;
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        Some(String::from_utf8_lossy(line).into_owned())
    }
}
