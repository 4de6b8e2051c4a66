//! Stand-ins for the platform, the runners and the clients of the review's scripted cases.

#![allow(dead_code)]

mod alone;
mod connections;
mod drain;
mod fleet;
mod memory;
mod net;
mod runner;
mod silent;
mod store;

use std::process::ExitCode;

/// `standin CASE RECORD FOLDER`: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = arguments.as_slice() else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = net::Record::create(record);
    let broken = match case.as_str() {
        "connections" => connections::run(&record, folder, trouble),
        "alone" => alone::run(&record, folder, trouble),
        "drain" => drain::run(&record, folder, trouble),
        "silent" => silent::run(&record, folder, trouble),
        "memory" => memory::run(&record, folder, trouble),
        _ => return ExitCode::from(2),
    };
    record.line(if broken { "RESULT: the rule was broken" } else { "RESULT: the rule held" });
    ExitCode::from(u8::from(broken))
}
