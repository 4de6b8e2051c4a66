//! The call that a ticket is bound to at its first use.

use sha2::{Digest, Sha256};
use tarragon_protocol::peer::{ForwardedCall, PlainCall};

/// Bytes kept of the hash. 128 bits exclude accidental equality of two calls.
const BINDING_BYTES: usize = 16;

/// Hash of workspace, service, method, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallBinding([u8; BINDING_BYTES]);

impl CallBinding {
    /// Binding of a call. Headers are left out: a client library may change them from attempt to attempt.
    pub fn of(workspace: &str, service: &str, call: &PlainCall) -> CallBinding {
        let parts = [
            workspace.as_bytes(),
            service.as_bytes(),
            call.method.as_bytes(),
            call.path.as_bytes(),
            &call.body,
        ];
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; BINDING_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..BINDING_BYTES]);
        CallBinding(bytes)
    }

    /// Binding of a forwarded call.
    pub fn of_forwarded(call: &ForwardedCall) -> CallBinding {
        CallBinding::of(&call.workspace, &call.service, &call.call)
    }

    /// Hexadecimal text for a handover.
    pub fn to_text(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads the hexadecimal text.
    pub fn from_text(text: &str) -> Option<CallBinding> {
        if text.len() != 2 * BINDING_BYTES || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; BINDING_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(CallBinding(bytes))
    }
}
