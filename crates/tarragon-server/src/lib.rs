//! The entry VM's process: HTTP, peer transport, administration and shutdown.
