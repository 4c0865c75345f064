//! The daemon's executable, built in the bench's own profile.

use std::io;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const DAEMON: &str = "rosemarymoord";

/// Path of the daemon; builds it first when cargo started the bench.
pub fn daemon() -> io::Result<PathBuf> {
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "-p", "rosemarymoor-daemon"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        if !build.stdout(Stdio::null()).status()?.success() {
            return Err(io::Error::other("the daemon does not build"));
        }
    }
    let path = std::env::current_exe()?.with_file_name(DAEMON);
    if path.is_file() {
        return Ok(path);
    }
    let message = format!("{} is missing; run `cargo build -p rosemarymoor-daemon`", DAEMON);
    Err(io::Error::other(message))
}
