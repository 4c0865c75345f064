//! `rosemarymoor-bench`: measures a fleet of daemon processes against stand-ins for
//! the platform and the targets.
//!
//! Every measure starts its own fleet and runs a bounded load on loopback. It prints
//! progress and figures for people to standard error, and one JSON object as the last
//! line of standard output.

mod binary;
mod caller;
mod load;
mod measures;
mod options;
mod percentile;
mod regression;
mod verifier;

use std::process::ExitCode;

use options::Options;

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_ARGUMENTS: u8 = 2;

fn main() -> ExitCode {
    let options = match Options::from_args() {
        Ok(options) => options,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_BAD_ARGUMENTS);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the system can start threads");
    match runtime.block_on(measures::run(&options)) {
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("rosemarymoor-bench: {err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
