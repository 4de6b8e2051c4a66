//! Settings, rules and published configuration, with findings that name their place.

pub mod check;
pub mod publication;
pub mod rules;
pub mod settings;
