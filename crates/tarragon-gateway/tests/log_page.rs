//! The messages that the fleet and the gateway log, against the table of `docs/OPERATIONS.md`.

use std::{fs, path::Path};

const SOURCES: [&str; 4] = [
    "crates/tarragon-command/src/command/serve",
    "crates/tarragon-fleet/src",
    "crates/tarragon-gateway/src",
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

/// The message of each call of a logging macro: the last text among its arguments.
fn logged_messages(text: &str) -> Vec<String> {
    let mut messages = Vec::new();
    for call in text.split("tracing::").skip(1) {
        let names = ["info!(", "warn!(", "error!("];
        let Some(rest) = names.iter().find_map(|name| call.strip_prefix(name)) else { continue };
        let message = arguments(rest).rsplit('"').nth(1).expect("a line has a message");
        messages.push(message.to_owned());
    }
    messages
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

/// The messages in the first column of the page's table of messages.
fn listed_messages(page: &str) -> Vec<&str> {
    let table = page.split("| message |").nth(1).unwrap().split("\n\n").next().unwrap();
    let rows = table.lines().filter_map(|line| line.strip_prefix("| ")?.split(" | ").next());
    rows.flat_map(|cell| cell.split('`').skip(1).step_by(2)).collect()
}

fn is_listed(message: &str, listed: &str) -> bool {
    listed.strip_suffix('…').map_or(message == listed, |start| message.starts_with(start.trim()))
}

/// Guards against a page for operators that names lines which nobody writes, and against lines that it lacks.
#[test]
fn the_page_lists_the_messages_that_are_logged() {
    let text: String = SOURCES.iter().map(|folder| source_text(&root().join(folder))).collect();
    let logged = logged_messages(&text);
    let page = fs::read_to_string(root().join(PAGE)).unwrap();
    let listed = listed_messages(&page);
    assert!(logged.len() > 20 && listed.len() > 20, "{} and {}", logged.len(), listed.len());
    let unlisted: Vec<_> =
        logged.iter().filter(|one| !listed.iter().any(|name| is_listed(one, name))).collect();
    assert!(unlisted.is_empty(), "lines that the page lacks: {unlisted:#?}");
    let unknown: Vec<_> =
        listed.iter().filter(|name| !logged.iter().any(|one| is_listed(one, name))).collect();
    assert!(unknown.is_empty(), "lines that nobody writes: {unknown:#?}");
}
