//! Compares the messages that the scheduler, the fleet and the gateway log with the table in
//! `docs/OPERATIONS.md`.

use std::{fs, path::Path};

use indexmap::{IndexMap, IndexSet};

const SOURCES: [&str; 5] = [
    "crates/tarragon-command/src/command/serve",
    "crates/tarragon-fleet/src",
    "crates/tarragon-gateway/src",
    "crates/tarragon-scheduler/src",
    "platform/src",
];
const PAGE: &str = "docs/OPERATIONS.md";

fn workspace_root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn read_sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text += &read_sources(&path);
        } else {
            text += &fs::read_to_string(path).unwrap();
        }
    }
    text
}

/// Levels and fields of all log lines with the same message.
#[derive(Debug, Default, PartialEq, Eq)]
struct MessageFormat {
    levels: IndexSet<String>,
    fields: IndexSet<String>,
}

type MessageFormats = IndexMap<String, MessageFormat>;

/// Collects the logging macros in a source text: the last argument is the message, the others are fields.
fn logged_messages(text: &str) -> MessageFormats {
    let mut formats = MessageFormats::new();
    for call in text.split("tracing::").skip(1) {
        let level = ["info", "warn", "error"].into_iter().find_map(|level| {
            let rest = call.strip_prefix(level)?.strip_prefix("!(")?;
            Some((level, rest))
        });
        let Some((level, rest)) = level else { continue };
        let mut arguments = split_arguments(call_arguments(rest));
        let message = arguments.pop().expect("a line has a message");
        let format = formats.entry(message.trim_matches('"').to_owned()).or_default();
        format.levels.insert(level.to_owned());
        let name = |argument: &&str| argument.split('=').next().unwrap_or("").trim().to_owned();
        let fields = arguments.iter().map(name);
        format.fields.extend(fields.map(|field| field.trim_start_matches(['%', '?']).to_owned()));
    }
    formats
}

/// Splits the arguments of a call at its top level, ignoring commas in nested calls and strings.
fn split_arguments(text: &str) -> Vec<&str> {
    let (mut depth, mut quoted, mut start) = (0, false, 0);
    let mut arguments = Vec::new();
    for (position, symbol) in text.char_indices() {
        match symbol {
            '"' => quoted = !quoted,
            _ if quoted => {}
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            ',' if depth == 0 => {
                arguments.push(text[start..position].trim());
                start = position + 1;
            }
            _ => {}
        }
    }
    arguments.push(text[start..].trim());
    arguments.retain(|argument| !argument.is_empty());
    arguments
}

/// Text up to the parenthesis that closes the call.
fn call_arguments(text: &str) -> &str {
    let mut open = 1;
    let end = text.char_indices().find_map(|(position, symbol)| {
        open += i32::from(symbol == '(') - i32::from(symbol == ')');
        (open == 0).then_some(position)
    });
    &text[..end.expect("a call is closed")]
}

/// Parses the rows of the page's table of messages.
fn listed_messages(page: &str) -> MessageFormats {
    let table = page.split("| message |").nth(1).unwrap().split("\n\n").next().unwrap();
    let rows = table.lines().filter(|line| line.starts_with("| `"));
    let row = |line: &str| {
        let cells: Vec<&str> = line.split(" | ").collect();
        let [message, levels, _, fields] = cells[..] else { panic!("not a row: {line}") };
        let levels = levels.split(", ").map(str::to_owned).collect();
        let fields = quoted_names(fields).collect();
        (quoted_names(message).next().unwrap(), MessageFormat { levels, fields })
    };
    rows.map(row).collect()
}

fn quoted_names(cell: &str) -> impl Iterator<Item = String> {
    cell.split('`').skip(1).step_by(2).map(str::to_owned)
}

/// Guards against an operators' page that lists messages or fields which are not logged, or that lacks
/// messages, levels or fields which are.
#[test]
fn operations_page_lists_exactly_the_logged_messages() {
    let text: String =
        SOURCES.iter().map(|folder| read_sources(&workspace_root().join(folder))).collect();
    let logged = logged_messages(&text);
    let page = fs::read_to_string(workspace_root().join(PAGE)).unwrap();
    let mut listed = listed_messages(&page);
    assert!(logged.len() > 20 && listed.len() > 20, "{} and {}", logged.len(), listed.len());
    for (message, format) in &logged {
        let row = listed.swap_remove(message);
        assert_eq!(row.as_ref(), Some(format), "the page's row for `{message}` differs");
    }
    assert!(listed.is_empty(), "listed but never logged: {listed:#?}");
}
