//! Table-driven tests: each rule of the scheduler, with the failure that it guards against.

mod build;
mod choice;
mod driver;
mod ending;
mod forecast;
mod holder;
mod pace;
mod paced;
mod placement;
mod play;
mod retry;
mod share;
mod shed;
mod suspect;
mod take_up;
mod terms;
mod window;

use driver::*;
