//! The settings of `serve`, as the configuration crate defines them.

pub use tarragon_config::settings::*;
