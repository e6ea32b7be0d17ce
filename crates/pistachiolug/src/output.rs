//! Output of the commands: results on standard output, errors and findings on standard error.

#![allow(clippy::print_stdout, clippy::print_stderr)]

use pistachiolug_settings::finding::Finding;
use serde::Serialize;

use crate::exit::Exit;

/// Prints a result.
pub fn print(text: &str) {
    println!("{text}");
}

/// Prints a result as one JSON document; returns [`Exit::Done`].
pub fn print_json<T: Serialize>(value: &T) -> Exit {
    match serde_json::to_string_pretty(value) {
        Ok(text) => {
            println!("{text}");
            Exit::Done
        }
        Err(error) => fail(Exit::Unavailable, &error.to_string()),
    }
}

/// Prints an error and returns `exit`.
pub fn fail(exit: Exit, message: &str) -> Exit {
    eprintln!("{message}");
    exit
}

/// Prints findings, one per line; returns [`Exit::Findings`].
pub fn report_findings(findings: &[Finding]) -> Exit {
    for finding in findings {
        eprintln!("{finding}");
    }
    Exit::Findings
}

/// Renders rows as a table with aligned columns.
///
/// Each row must have as many cells as there are titles.
pub fn table(titles: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0).max(titles[column].len())
    };
    let widths: Vec<usize> = (0..titles.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths);
        let text: Vec<String> = padded
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.join("  ").trim_end().to_owned()
    };
    let head = line(titles.to_vec());
    let body = rows
        .iter()
        .map(|row| line(row.iter().map(String::as_str).collect()));
    let lines: Vec<String> = std::iter::once(head).chain(body).collect();
    lines.join("\n")
}
