//! Locates the daemon's executable, which the measures start, and builds it in the
//! bench's own profile.

use std::io;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const DAEMON_NAME: &str = "rosemarymoord";

/// Returns the path of the daemon's executable, and builds it first if cargo started
/// the bench.
///
/// # Errors
///
/// Fails if the build fails, or if no executable lies beside that of the bench.
pub fn daemon_path() -> io::Result<PathBuf> {
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "-p", "rosemarymoor-daemon"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        if !build.stdout(Stdio::null()).status()?.success() {
            return Err(io::Error::other("`cargo build -p rosemarymoor-daemon` failed"));
        }
    }
    let path = std::env::current_exe()?.with_file_name(DAEMON_NAME);
    if path.is_file() {
        return Ok(path);
    }
    let message = format!("{} is missing; run `cargo build -p rosemarymoor-daemon`", DAEMON_NAME);
    Err(io::Error::other(message))
}
