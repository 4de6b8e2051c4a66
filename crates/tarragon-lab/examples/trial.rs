//! Runs a randomised run or an experiment from the command line while the main command is not there yet.

use tarragon_lab::soak::{self, SoakOptions};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let value = |name: &str| {
        let at = arguments.iter().position(|other| other == name)?;
        arguments.get(at + 1)
    };
    let number = |name: &str, default: u64| {
        value(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    if arguments.first().is_some_and(|first| first == "experiment") {
        let options = tarragon_lab::experiment::ExperimentOptions {
            length: std::time::Duration::from_secs(number("--length", 120)),
            output: value("--output").map(Into::into).unwrap_or("docs/plots".into()),
            ..Default::default()
        };
        println!("{}", tarragon_lab::experiment::run(&options).unwrap());
        return;
    }
    if arguments.first().is_some_and(|first| first == "scenario") {
        tarragon_lab::scenario::run(std::path::Path::new(&arguments[1]));
        return;
    }
    let options = SoakOptions {
        seed: number("--seed", 1),
        seeds: number("--seeds", 1),
        steps: number("--steps", 100_000),
        mutation: value("--mutation").map(|name| name.parse().unwrap()),
        echo: arguments.iter().any(|other| other == "--echo"),
    };
    println!("{}", soak::run(options));
}
