//! `codes`: lists the result codes of refused requests.

use gumdrop::Options;
use rosemarymoor_lib::result_code::ResultCode;
use serde::Serialize;

use crate::error::CliError;
use crate::output::{print_json, print_table};

/// Lists the result codes; the kind of each tells whether the request may have run.
#[derive(Debug, Options)]
pub struct CodesOptions {
    /// print this help
    help: bool,
    /// print JSON
    json: bool,
}

/// Result code as printed.
#[derive(Serialize)]
struct Row {
    code: u16,
    /// HTTP status of the refusal.
    status: u16,
    /// Whether the request may have run.
    kind: String,
    title: &'static str,
}

/// Runs the command; it cannot fail.
pub fn run(options: &CodesOptions) -> Result<(), CliError> {
    let rows: Vec<Row> = ResultCode::ALL.iter().map(|code| row(*code)).collect();
    if options.json {
        print_json(&rows);
        return Ok(());
    }
    let cells = |row: &Row| {
        let (code, status) = (row.code.to_string(), row.status.to_string());
        vec![code, status, row.kind.clone(), row.title.to_owned()]
    };
    let cells: Vec<Vec<String>> = rows.iter().map(cells).collect();
    print_table(&["code", "status", "kind", "title"], &cells);
    Ok(())
}

fn row(code: ResultCode) -> Row {
    Row {
        code: code.number(),
        status: code.status(),
        kind: code.kind().to_string(),
        title: code.title(),
    }
}
