//! Command line: one command per file.
