//! Time-outs and bounds of calls to targets.

use std::time::Duration;

/// How long a call to a target may wait in each of its phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetTimeouts {
    /// For the connection.
    pub connect: Duration,
    /// From the write to the head of the answer.
    pub first_byte: Duration,
    /// Between two parts of an answer.
    pub idle: Duration,
    /// Between two parts that a slow caller takes from its stream.
    pub caller_stall: Duration,
    /// Largest plain answer, in bytes.
    pub answer_bytes: usize,
}

impl Default for TargetTimeouts {
    fn default() -> TargetTimeouts {
        TargetTimeouts {
            connect: Duration::from_secs(1),
            first_byte: Duration::from_secs(60),
            idle: Duration::from_secs(15),
            caller_stall: Duration::from_secs(30),
            answer_bytes: 64 << 20,
        }
    }
}
