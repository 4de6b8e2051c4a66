//! Settings, rules and published configuration, with findings that name their place.

pub mod publication;
pub mod rules;
