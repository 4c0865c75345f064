//! `config history`: lists the revisions of the configuration with their times and authors.

use gumdrop::Options;
use rosemarymoor_lib::config::ChangeSummary;
use rosemarymoor_lib::config::store::read_head;
use snafu::{OptionExt, ResultExt};

use crate::context::Context;
use crate::error::{CliError, LoadSnafu, NoConfigSnafu};
use crate::output::{print_json, print_table};

/// Lists the latest revisions with their times and authors.
#[derive(Debug, Options)]
pub struct HistoryOptions {
    /// print this help
    help: bool,
    /// print JSON
    json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the store cannot be read or holds no configuration.
pub async fn run(options: &HistoryOptions, cx: &Context) -> Result<(), CliError> {
    let stored = read_head(cx.store()?.as_ref()).await.context(LoadSnafu)?;
    let head = stored.head.context(NoConfigSnafu)?;
    let changes: Vec<&ChangeSummary> = head.changes().collect();
    if options.json {
        print_json(&changes);
        return Ok(());
    }
    let rows: Vec<Vec<String>> = changes.iter().map(|change| row(change)).collect();
    print_table(&["revision", "time (ms)", "author", "change"], &rows);
    Ok(())
}

fn row(change: &ChangeSummary) -> Vec<String> {
    let (revision, time) = (change.revision.to_string(), change.time_ms.to_string());
    vec![revision, time, change.author.clone(), change.change.to_string()]
}
