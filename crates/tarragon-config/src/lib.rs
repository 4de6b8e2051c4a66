//! Parsing and validation of settings, rules and published configuration. Errors are reported as findings
//! with their source location.

pub mod check;
pub mod publication;
pub mod rules;
pub mod settings;
