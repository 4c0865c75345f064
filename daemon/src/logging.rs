//! Log of entries and sidecars on standard error, with key=value pairs in each line.

use log::LevelFilter;
use log4rs::Config;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

/// Line format: UTC time, level, target and message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";
const APPENDER: &str = "stderr";
/// Crates whose log level is configurable.
const OWN_CRATES: &[&str] = &["rosemarymoor_daemon", "rosemarymoor_lib"];

/// Starts logging: the fleet's own crates at `level`, others at warn.
///
/// # Panics
///
/// Panics if a logger was started before.
pub fn start(level: LevelFilter) {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let stderr = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let own = OWN_CRATES.iter().map(|name| Logger::builder().build(*name, level));
    let cfg = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(stderr)))
        .loggers(own)
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Warn))
        .expect("the logging configuration is constant");
    log4rs::init_config(cfg).expect("logging is started once");
}
