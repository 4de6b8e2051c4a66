//! Table tests: each rule of the scheduler under the failure that it guards against.

mod driver;
mod placement;
mod retry;
mod shed;
mod window;

use driver::*;
