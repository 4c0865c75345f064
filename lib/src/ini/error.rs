//! Errors in INI documents, each with its position and a hint how to fix it.

use snafu::Snafu;

use super::Position;

/// Error in a document.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum IniError {
    #[snafu(display("{file}: cannot be read: {source}"))]
    Read { file: String, source: std::io::Error },
    #[snafu(display("{at}: not INI: {detail}"))]
    Syntax { at: Position, detail: String },
    #[snafu(display("{at}: `{name}` occurs twice, first at {first}"))]
    Duplicate { at: Position, name: String, first: Position },
    #[snafu(display("{at}: key `{key}` stands before the first section"))]
    OutsideSection { at: Position, key: String },
    #[snafu(display("{at}: unknown section `[{section}]`"))]
    UnknownSection { at: Position, section: String, known: Vec<String> },
    #[snafu(display("{at}: unknown key `{key}` in `[{section}]`"))]
    UnknownKey { at: Position, section: String, key: String, known: Vec<String> },
    #[snafu(display("{at}: section `[{section}]` is missing"))]
    MissingSection { at: Position, section: String },
    #[snafu(display("{at}: `[{section}]` lacks the key `{key}`"))]
    MissingKey { at: Position, section: String, key: String },
    #[snafu(display("{at}: `{key} = {value}` is not valid"))]
    BadValue { at: Position, key: String, value: String, expected: String },
    #[snafu(display("{at}: {kind} `{name}` does not exist"))]
    Dangling { at: Position, kind: String, name: String, known: Vec<String> },
    #[snafu(display("{at}: {detail}"))]
    Conflict { at: Position, detail: String, hint: String },
}

impl IniError {
    /// Returns a hint how to fix the error.
    pub fn hint(&self) -> String {
        match self {
            IniError::Read { .. } => "check the path and its permissions".to_owned(),
            IniError::Syntax { .. } => {
                "write `[section]`, `key = value` or `; comment` on each line".to_owned()
            }
            IniError::Duplicate { .. } => {
                "keep one of them; a later file of the folder may override it".to_owned()
            }
            IniError::OutsideSection { .. } => "put a `[section]` line above it".to_owned(),
            IniError::UnknownSection { section, known, .. } => suggest(section, known),
            IniError::UnknownKey { key, known, .. } => suggest(key, known),
            IniError::MissingSection { section, .. } => format!("add a `[{section}]` section"),
            IniError::MissingKey { key, .. } => format!("add a line `{key} = …`"),
            IniError::BadValue { expected, .. } => format!("give {expected}"),
            IniError::Dangling { name, known, .. } => suggest(name, known),
            IniError::Conflict { hint, .. } => hint.clone(),
        }
    }
}

/// Errors of one or more documents, in the order in which they were found.
#[derive(Debug)]
pub struct IniErrors(pub Vec<IniError>);

impl std::fmt::Display for IniErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}\n  hint: {}", error.hint())?;
        }
        Ok(())
    }
}

impl std::error::Error for IniErrors {}

impl From<IniError> for IniErrors {
    fn from(error: IniError) -> IniErrors {
        IniErrors(vec![error])
    }
}

/// Maximum number of known names that a hint lists.
const MAX_ALTERNATIVES: usize = 12;

/// Largest edit distance at which a hint suggests a known name.
const MAX_TYPO_DISTANCE: usize = 2;

/// Returns a hint that suggests the known name nearest to `name`, or lists the known names.
fn suggest(name: &str, known: &[String]) -> String {
    let nearest = known.iter().min_by_key(|candidate| edit_distance(name, candidate));
    match nearest {
        None => "none is defined".to_owned(),
        Some(nearest) if edit_distance(name, nearest) <= MAX_TYPO_DISTANCE => {
            format!("did you mean `{nearest}`?")
        }
        Some(_) if known.len() <= MAX_ALTERNATIVES => format!("known are: {}", known.join(", ")),
        Some(nearest) => format!("{} are defined, the nearest is `{nearest}`", known.len()),
    }
}

/// Returns the Levenshtein distance between two names.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
