//! Markdown table of measured cases.

use std::fmt::Write;

use super::measure::{Cost, Row};

/// Renders a table with one line for each measured case and role.
pub fn render(rows: &[Row]) -> String {
    let mut page = String::from(
        "| agents | entries | customers | changes/s | role | core % mean/most | resident MiB mean/most | control KB/s mean/most | messages/s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        for (role, cost) in [("agent", &row.agent), ("entry", &row.entry)] {
            // Writing to a string never fails.
            let _ = write_row(&mut page, row, role, cost);
        }
    }
    page
}

fn write_row(page: &mut String, row: &Row, role: &str, cost: &Cost) -> std::fmt::Result {
    let case = row.case;
    write!(
        page,
        "| {} | {} | {} | ",
        case.agents, case.entries, case.customers
    )?;
    write!(page, "{} | {role} | ", case.changes_per_s)?;
    write!(
        page,
        "{:.2} / {:.2} | ",
        cost.core_percent, cost.core_percent_most
    )?;
    write!(
        page,
        "{:.1} / {:.1} | ",
        cost.resident_mib, cost.resident_mib_most
    )?;
    write!(page, "{:.2} / {:.2} | ", cost.kb_per_s, cost.kb_per_s_most)?;
    writeln!(page, "{:.2} |", cost.messages_per_s)
}
