//! Output of commands: JSON for scripts and tables for people.

use serde::Serialize;

/// Prints a value as one line of JSON.
pub fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string(value).expect("a report serializes to JSON"));
}

/// Prints a header and rows as left-aligned columns, each as wide as its widest cell.
pub fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells = widths.iter().zip(row).map(|(width, cell)| format!("{cell:<width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}
