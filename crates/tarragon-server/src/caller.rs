//! The callers' side: HTTP connections, requests and answers.

pub mod answer;
pub mod arrival;
pub mod body;
pub mod chat;
pub mod header;
pub mod layer;
pub mod listener;
pub mod observed_stream;
pub mod prompt;
pub mod router;
pub mod service;
pub mod write_limit;
