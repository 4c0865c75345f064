//! `config show`: shows the current revision, or a folder with the origins of its values.

use std::path::Path;

use gumdrop::Options;
use rosemarymoor_lib::config::store::load;
use rosemarymoor_lib::config::{Config, ConfigFolder};
use rosemarymoor_lib::ini::IniSection;
use snafu::{OptionExt, ResultExt};

use crate::context::Context;
use crate::error::{ArgumentSnafu, CliError, LoadSnafu, NoConfigSnafu};
use crate::output::print_json;

/// Shows the current revision or, with a folder, the configuration merged from its files.
#[derive(Debug, Options)]
pub struct ShowOptions {
    /// print this help
    help: bool,
    /// folder to show instead of the stored configuration
    #[options(free)]
    folder: Option<String>,
    /// with a folder: show the file and line of each value
    origin: bool,
    /// print JSON
    json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the folder is not valid, or the store cannot be read or holds no configuration.
pub async fn run(options: &ShowOptions, cx: &Context) -> Result<(), CliError> {
    match &options.folder {
        Some(folder) => show_folder(Path::new(folder), options),
        None if options.origin => {
            ArgumentSnafu { value: "--origin", expected: "usable without a FOLDER" }.fail()
        }
        None => {
            let stored = load(cx.store()?.as_ref()).await.context(LoadSnafu)?;
            let stored = stored.context(NoConfigSnafu)?;
            print(&stored.config, options.json);
            Ok(())
        }
    }
}

fn show_folder(path: &Path, options: &ShowOptions) -> Result<(), CliError> {
    let folder = ConfigFolder::open(path).map_err(|errors| CliError::Config { errors })?;
    match (options.origin, options.json) {
        (true, true) => print_json(&folder.sections),
        (true, false) => folder.sections.iter().for_each(print_origins),
        (false, json) => print(&folder.config, json),
    }
    Ok(())
}

fn print(cfg: &Config, json: bool) {
    if json {
        return print_json(cfg);
    }
    println!("; revision {}", cfg.revision);
    print!("{}", cfg.to_ini());
}

fn print_origins(section: &IniSection) {
    println!("[{}]", section.name);
    for key in &section.keys {
        println!("; {}\n{} = {}", key.at, key.name, key.value);
    }
    println!();
}
