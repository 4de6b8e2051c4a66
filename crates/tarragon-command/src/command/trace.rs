//! `trace`: tells one request's story from the logs of one or several processes.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context;
use bpaf::Bpaf;
use indexmap::IndexSet;
use serde_json::{Map, Value};

use crate::output::write_text;

/// Lines about a target that are shown: those before the request used it, the last ones first.
const BELIEFS: usize = 5;

/// Print what the logs of one or several processes say of a request, in order
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("trace"))]
pub(crate) struct TraceArguments {
    /// Id of the request, as its caller gave it
    #[bpaf(long, argument("ID"))]
    request: String,
    /// Log files with one JSON object a line; text before the object names the process
    #[bpaf(positional("LOG"), some("name a log file"))]
    logs: Vec<PathBuf>,
}

/// One line of a log.
struct LogLine {
    /// Text before the object, or the name of the file.
    source: String,
    fields: Map<String, Value>,
}

pub(crate) fn execute(arguments: &TraceArguments) -> anyhow::Result<ExitCode> {
    let mut lines = Vec::new();
    for path in &arguments.logs {
        read_log(path, &mut lines)?;
    }
    lines.sort_by(|left, right| left.time().cmp(right.time()));
    let story = tell(&lines, &arguments.request);
    if story.is_empty() {
        write_text(&format!("no line names the request {}\n", arguments.request))?;
        return Ok(ExitCode::FAILURE);
    }
    write_text(&story)?;
    Ok(ExitCode::SUCCESS)
}

fn read_log(path: &Path, lines: &mut Vec<LogLine>) -> anyhow::Result<()> {
    let file = File::open(path).with_context(|| format!("{} can't be read", path.display()))?;
    for line in BufReader::new(file).lines() {
        let line = line.with_context(|| format!("{} can't be read", path.display()))?;
        let Some(start) = line.find('{') else { continue };
        // Other programs may write to the same file.
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        let before = line[..start].trim();
        let name = path.file_name().map_or_else(String::new, |name| name.display().to_string());
        let source = if before.is_empty() { name } else { before.to_owned() };
        lines.push(LogLine { source, fields });
    }
    Ok(())
}

impl LogLine {
    fn time(&self) -> &str {
        self.fields.get("timestamp").and_then(Value::as_str).unwrap_or("")
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Whether the line names the request, by the caller's id or by the one that the process gave it.
    fn names(&self, ids: &IndexSet<String>) -> bool {
        let value = match self.fields.get("request") {
            Some(Value::String(text)) => text.clone(),
            Some(Value::Number(number)) => number.to_string(),
            _ => return false,
        };
        ids.contains(&value)
    }

    fn render(&self) -> String {
        let hidden = ["timestamp", "level", "message"];
        let fields = self.fields.iter().filter(|(name, _)| !hidden.contains(&name.as_str()));
        let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
        let message = self.text("message").unwrap_or("");
        format!("{} {} {message}: {}\n", self.time(), self.source, fields.join(" "))
    }
}

/// The lines of a request, with what was believed of each target before it was used.
fn tell(lines: &[LogLine], request: &str) -> String {
    let mut ids = IndexSet::from([request.to_owned()]);
    for line in lines.iter().filter(|line| line.text("request") == Some(request)) {
        ids.extend(line.fields.get("id").map(Value::to_string));
    }
    let mut story = String::new();
    for (index, line) in lines.iter().enumerate().filter(|(_, line)| line.names(&ids)) {
        if line.text("message") == Some("sent") {
            for belief in beliefs(&lines[..index], line) {
                story.push_str("    believed ");
                story.push_str(&belief.render());
            }
        }
        story.push_str(&line.render());
    }
    story
}

/// The last lines of the same process about the target of an attempt.
fn beliefs<'a>(before: &'a [LogLine], sent: &LogLine) -> Vec<&'a LogLine> {
    let about = |line: &&LogLine| {
        line.text("target_address") == sent.text("target_address")
            && !line.fields.contains_key("request")
            && process(&line.source) == process(&sent.source)
    };
    let mut lines: Vec<&LogLine> = before.iter().rev().filter(about).take(BELIEFS).collect();
    lines.reverse();
    lines
}

/// Name of a process in the text before a line, which may also hold a time.
fn process(source: &str) -> &str {
    source.split_whitespace().last().unwrap_or("")
}
