//! Membership, configuration relay, tickets and fencing as state machines without I/O.
