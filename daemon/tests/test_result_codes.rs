//! Checks that `docs/result-codes.md` lists exactly the result codes of the library.

use rosemarymoor_lib::result_code::ResultCode;

const PAGE: &str = include_str!("../../docs/result-codes.md");

#[test]
fn the_page_lists_every_code_with_status_kind_and_title() {
    let rows: Vec<&str> = PAGE.lines().filter(|line| is_code(line)).collect();
    let expected: Vec<String> = ResultCode::ALL.iter().map(|code| row(*code)).collect();
    assert_eq!(rows, expected);
}

/// Returns whether a line is the table row of a code.
fn is_code(line: &str) -> bool {
    let digits = line.strip_prefix("| ").unwrap_or_default();
    digits.starts_with(|first: char| first.is_ascii_digit())
}

/// Returns the table row expected for a code.
fn row(code: ResultCode) -> String {
    format!("| {} | {} | {} | {} |", code.number(), code.status(), code.kind(), code.title())
}
