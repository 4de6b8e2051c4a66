//! The messages that the scheduler, the fleet and the gateway log, against the table of `docs/OPERATIONS.md`.

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

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn source_text(folder: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text += &source_text(&path);
        } else {
            text += &fs::read_to_string(path).unwrap();
        }
    }
    text
}

/// Levels and fields of the lines with one message.
#[derive(Debug, Default, PartialEq, Eq)]
struct LineForm {
    levels: IndexSet<String>,
    fields: IndexSet<String>,
}

type LineForms = IndexMap<String, LineForm>;

/// The lines that the logging macros write: the last argument is the message, the others are fields.
fn logged_forms(text: &str) -> LineForms {
    let mut forms = LineForms::new();
    for call in text.split("tracing::").skip(1) {
        let level = ["info", "warn", "error"].into_iter().find_map(|level| {
            let rest = call.strip_prefix(level)?.strip_prefix("!(")?;
            Some((level, rest))
        });
        let Some((level, rest)) = level else { continue };
        let mut arguments = split_arguments(arguments(rest));
        let message = arguments.pop().expect("a line has a message");
        let form = forms.entry(message.trim_matches('"').to_owned()).or_default();
        form.levels.insert(level.to_owned());
        let name = |argument: &&str| argument.split('=').next().unwrap_or("").trim().to_owned();
        let fields = arguments.iter().map(name);
        form.fields.extend(fields.map(|field| field.trim_start_matches(['%', '?']).to_owned()));
    }
    forms
}

/// Arguments of a call, without those of calls inside of it.
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

/// Text up to the parenthesis that closes the one before it.
fn arguments(text: &str) -> &str {
    let mut open = 1;
    let end = text.char_indices().find_map(|(position, symbol)| {
        open += i32::from(symbol == '(') - i32::from(symbol == ')');
        (open == 0).then_some(position)
    });
    &text[..end.expect("a call is closed")]
}

/// The rows of the page's table of messages.
fn listed_forms(page: &str) -> LineForms {
    let table = page.split("| message |").nth(1).unwrap().split("\n\n").next().unwrap();
    let rows = table.lines().filter(|line| line.starts_with("| `"));
    let row = |line: &str| {
        let cells: Vec<&str> = line.split(" | ").collect();
        let [message, levels, _, fields] = cells[..] else { panic!("not a row: {line}") };
        let levels = levels.split(", ").map(str::to_owned).collect();
        let fields = quoted_names(fields).collect();
        (quoted_names(message).next().unwrap(), LineForm { levels, fields })
    };
    rows.map(row).collect()
}

fn quoted_names(cell: &str) -> impl Iterator<Item = String> {
    cell.split('`').skip(1).step_by(2).map(str::to_owned)
}

/// Guards against a page for operators that names lines or fields which nobody writes, and against lines, levels
/// and fields that it lacks.
#[test]
fn the_page_lists_the_lines_that_are_logged() {
    let text: String = SOURCES.iter().map(|folder| source_text(&root().join(folder))).collect();
    let logged = logged_forms(&text);
    let page = fs::read_to_string(root().join(PAGE)).unwrap();
    let mut listed = listed_forms(&page);
    assert!(logged.len() > 20 && listed.len() > 20, "{} and {}", logged.len(), listed.len());
    for (message, form) in &logged {
        let row = listed.swap_remove(message);
        assert_eq!(row.as_ref(), Some(form), "the page's row of `{message}` differs");
    }
    assert!(listed.is_empty(), "lines that nobody writes: {listed:#?}");
}
