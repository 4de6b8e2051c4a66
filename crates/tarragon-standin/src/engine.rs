//! Stand-in for a model engine: continuous batching, a prefix cache, cold starts, streams that can be
//! resumed and cancelled, late load reports, cache events, orders and crashes.

mod answer;
mod batch;
mod cache;
mod counter;
mod handle;
mod http;
mod order;
mod report;
mod settings;
mod text;

pub use batch::{EngineBatch, EngineEvent, EngineSubmission};
pub use cache::PrefixCache;
pub use counter::{EngineCounters, PrefillLedger};
pub use handle::{EngineHandle, start};
pub(crate) use report::ReportHistory;
pub use settings::{EngineSettings, HardwareProfile};
pub use text::{answer_length, answer_token};
