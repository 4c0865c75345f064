//! Command-line options of the bench.

use gumdrop::Options as _;

const USAGE: &str = "Usage: rosemarymoor-bench MEASURE [OPTIONS]";

/// Measures and the faults that each supports.
const MEASURES: &[(&str, &[&str])] = &[
    ("demo", &["none"]),
    (
        "budgets",
        &["none", "partition", "store-outage", "lost-answers", "entry-kill", "entry-pause", "all"],
    ),
    (
        "actions",
        &["none", "lost-answers", "entry-kill", "sidecar-kill", "partition", "store-outage", "all"],
    ),
    (
        "streams",
        &[
            "none",
            "entry-kill",
            "sidecar-cut",
            "target-kill",
            "crossed",
            "late",
            "drain",
            "poison",
            "all",
        ],
    ),
    ("routing", &["none", "slow-target", "stale-load", "leaving", "surge"]),
    ("config", &["none", "node-kill", "store-outage", "race", "lost-answers"]),
    ("slopes", &["none"]),
    ("soak", &["none"]),
    ("choice", &["none"]),
];

/// Runs a measure on a fleet of local processes and prints its figures as JSON.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        free,
        help = "measure: demo, budgets, actions, streams, routing, config, slopes, soak or choice"
    )]
    pub measure: String,
    #[options(no_short, meta = "N", default = "1", help = "seed of the load and the faults")]
    pub seed: u64,
    #[options(
        no_short,
        meta = "N",
        default = "1",
        help = "number of consecutive seeds to run (soak only)"
    )]
    pub seeds: u64,
    #[options(no_short, meta = "S", help = "duration of the load, in seconds")]
    pub seconds: Option<u64>,
    #[options(no_short, meta = "F", default = "none", help = "fault to inject")]
    pub fault: String,
    #[options(no_short, meta = "N", help = "number of entries")]
    pub entries: Option<usize>,
    #[options(
        no_short,
        meta = "N",
        help = "number of engine sidecars, or of budget servers for soak"
    )]
    pub sidecars: Option<usize>,
    #[options(no_short, meta = "N", help = "number of budgets")]
    pub budgets: Option<usize>,
    #[options(no_short, meta = "N", help = "requests per second")]
    pub rate: Option<u64>,
    #[options(no_short, meta = "P", help = "grant policy of the entries")]
    pub policy: Option<String>,
    #[options(no_short, help = "restore the store from copies at random times (soak only)")]
    pub restores: bool,
    #[options(no_short, help = "targets say that they leave and ask for pauses (soak only)")]
    pub notices: bool,
    #[options(no_short, help = "targets name limits of requests a second (soak only)")]
    pub limits: bool,
    #[options(no_short, help = "requests come with a part that crashes targets (soak only)")]
    pub crashes: bool,
    #[options(
        no_short,
        help = "entries are stopped in series while callers send as late as they accept (soak only)"
    )]
    pub stops: bool,
    #[options(no_short, meta = "DIR", help = "save the processes' logs in this folder")]
    pub logs: Option<String>,
}

/// Checks that a size, if it is given, is not too small to run a measure.
fn at_least(name: &str, size: Option<usize>, min: usize) -> Result<(), String> {
    match size {
        Some(size) if size < min => Err(format!("--{name} has to be at least {min}")),
        _ => Ok(()),
    }
}

impl Options {
    /// Parses the command line; prints the help and exits if that is requested.
    ///
    /// # Errors
    ///
    /// Returns a message for the user if an option, the measure or the fault is invalid.
    pub fn from_args() -> Result<Options, String> {
        let args: Vec<String> = std::env::args().skip(1).collect();
        let options =
            Options::parse_args_default(&args).map_err(|err| format!("{err}\n{USAGE}"))?;
        if options.help {
            println!("{USAGE}\n\n{}", Options::usage());
            std::process::exit(0);
        }
        options.check()?;
        Ok(options)
    }

    fn check(&self) -> Result<(), String> {
        let known = MEASURES.iter().find(|(measure, _)| *measure == self.measure);
        let Some((_, faults)) = known else {
            return Err(format!(
                "unknown measure `{}`\n{USAGE}\n\n{}",
                self.measure,
                Options::usage()
            ));
        };
        if !faults.contains(&self.fault.as_str()) {
            let known = faults.join(", ");
            return Err(format!("measure `{}` supports these faults: {known}", self.measure));
        }
        at_least("entries", self.entries, 1)?;
        let min_sidecars = if self.measure == "soak" { 0 } else { 1 };
        at_least("sidecars", self.sidecars, min_sidecars)?;
        at_least("budgets", self.budgets, 1)
    }

    /// Returns whether the fault is to be injected, by its own name or as part of `all`.
    pub fn has_fault(&self, fault: &str) -> bool {
        self.fault == fault || self.fault == "all"
    }
}
