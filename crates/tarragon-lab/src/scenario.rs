//! Scripted scenarios: a small text language on the `datadriven` crate. Each step changes a world of
//! several nodes in virtual time or prints what is known of it.
//!
//! ```text
//! start vms=6 workload=oshana
//! ----
//! 6 VMs in 3 data centres, ready
//!
//! send a class=truck-dispatch vm=0 loses-answer
//! ----
//!
//! advance 2s
//! ----
//!
//! expect a
//! ----
//! a: broken, runs 1
//! ```

use std::{collections::HashMap, path::Path, time::Duration};

use anyhow::{Context, anyhow, bail};
use datadriven::TestCase;

mod step;

use step::Stage;

/// Runs all scenarios of a folder and compares their output. Panics at the first difference, unless the
/// environment asks `datadriven` to rewrite the files.
pub fn run(folder: &Path) {
    datadriven::walk(&folder.display().to_string(), |file| {
        let mut stage = Stage::default();
        file.run(|case| run_case(&mut stage, case));
    });
}

fn run_case(stage: &mut Stage, case: &TestCase) -> String {
    let arguments = Arguments { values: &case.args };
    match stage.run(&case.directive, &arguments) {
        Ok(mut output) => {
            if !output.is_empty() && !output.ends_with('\n') {
                output.push('\n');
            }
            output
        }
        Err(error) => format!("error: {error:#}\n"),
    }
}

/// Arguments of a step: `name`, `name=value` or `name=(value, value)`.
struct Arguments<'a> {
    values: &'a HashMap<String, Vec<String>>,
}

impl Arguments<'_> {
    fn has(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.values.get(name)?.first().map(String::as_str)
    }

    fn required(&self, name: &str) -> anyhow::Result<&str> {
        self.text(name).ok_or_else(|| anyhow!("the argument `{name}=…` is missing"))
    }

    fn number(&self, name: &str) -> anyhow::Result<usize> {
        let text = self.required(name)?;
        text.parse().with_context(|| format!("`{name}={text}` is not a number"))
    }

    fn duration(&self, name: &str) -> anyhow::Result<Duration> {
        parse_duration(self.required(name)?)
    }
}

fn parse_duration(text: &str) -> anyhow::Result<Duration> {
    if let Some(number) = text.strip_suffix("ms") {
        return Ok(Duration::from_millis(number.parse()?));
    }
    match text.strip_suffix('s') {
        Some(number) => Ok(Duration::from_secs(number.parse()?)),
        None => bail!("`{text}` is not a time such as 300ms or 5s"),
    }
}
