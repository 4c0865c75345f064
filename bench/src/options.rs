//! Command line of the bench.

use gumdrop::Options as _;

const USAGE: &str = "Usage: rosemarymoor-bench MEASURE [OPTIONS]";

/// Measures and the faults that each of them knows.
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
];

/// What to measure and how.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        free,
        help = "measure: demo, budgets, actions, streams, routing, config, slopes or soak"
    )]
    pub measure: String,
    #[options(no_short, meta = "N", default = "1", help = "seed of load and faults")]
    pub seed: u64,
    #[options(no_short, meta = "N", default = "1", help = "seeds to play, soak only")]
    pub seeds: u64,
    #[options(no_short, meta = "S", help = "length of the load, in seconds")]
    pub seconds: Option<u64>,
    #[options(no_short, meta = "F", default = "none", help = "fault to cause")]
    pub fault: String,
    #[options(no_short, meta = "N", help = "entries")]
    pub entries: Option<usize>,
    #[options(no_short, meta = "N", help = "sidecars before engines; for soak budget servers")]
    pub sidecars: Option<usize>,
    #[options(no_short, meta = "N", help = "budgets")]
    pub budgets: Option<usize>,
    #[options(no_short, meta = "N", help = "requests a second")]
    pub rate: Option<u64>,
    #[options(no_short, meta = "P", help = "grant policy of the entries")]
    pub policy: Option<String>,
    #[options(no_short, meta = "DIR", help = "keep the logs of the processes there")]
    pub logs: Option<String>,
}

impl Options {
    /// Reads the command line; an error is a message for people.
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
            return Err(format!("no measure `{}`\n{USAGE}\n\n{}", self.measure, Options::usage()));
        };
        if !faults.contains(&self.fault.as_str()) {
            let known = faults.join(", ");
            return Err(format!("`{}` knows the faults {known}", self.measure));
        }
        Ok(())
    }

    /// Whether the fault is caused, by its own name or among all.
    pub fn has_fault(&self, fault: &str) -> bool {
        self.fault == fault || self.fault == "all"
    }
}
