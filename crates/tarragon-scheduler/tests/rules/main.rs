//! Table tests: each rule of the scheduler under the failure that it guards against.

mod choice;
mod driver;
mod placement;
mod retry;
mod share;
mod shed;
mod suspect;
mod terms;
mod window;

use driver::*;
