//! The `tarragonfront` binary.

fn main() {}
