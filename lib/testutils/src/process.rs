//! Real processes of a fleet: start, signals, exit, readiness and resource usage.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rosemarymoor_lib::http_client::{self, ConnectionReuse};
use rustix::process::{Pid, Signal, kill_process};

/// Maximum wait for a process to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks for exit or readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Clock ticks per second in `/proc`, which is 100 for user space on Linux.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Destination of a process's standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// The log file, together with the standard error.
    File,
    /// A pipe that is never read, so that writes block once it is full.
    UnreadPipe,
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time used so far in user and kernel mode, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
}

/// Running process that can be restarted; it is killed when it is dropped.
pub struct Process {
    binary: PathBuf,
    args: Vec<OsString>,
    log: PathBuf,
    output: LogOutput,
    child: Child,
}

impl Process {
    /// Starts a program. Its standard error is appended to `log`, and so is its standard output
    /// unless `output` is [`LogOutput::UnreadPipe`].
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened or the program cannot be started.
    pub fn spawn(
        binary: &Path,
        args: Vec<OsString>,
        log: &Path,
        output: LogOutput,
    ) -> io::Result<Process> {
        let child = start(binary, &args, log, output)?;
        Ok(Process { binary: binary.to_owned(), args, log: log.to_owned(), output, child })
    }

    /// Kills the process if it still runs, and starts it again.
    ///
    /// # Errors
    ///
    /// Fails like [`Process::spawn`].
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = start(&self.binary, &self.args, &self.log, self.output)?;
        Ok(())
    }

    /// Returns the log so far, or an empty string if it cannot be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal; an error is ignored, since the process may have exited.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process with `SIGKILL` and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with `SIGSTOP`, which it cannot catch.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to drain and stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns whether the process has not exited yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to exit; returns `None` if it takes longer than `timeout`.
    pub async fn wait_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let exit = async {
            loop {
                if let Some(status) = self.exit_status() {
                    return status;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, exit).await.ok()
    }

    /// Waits up to 20 s for the process to exit and returns its exit code, -1 after a signal;
    /// `None` if it does not exit in time.
    pub async fn wait_exit_code(&mut self) -> Option<i32> {
        self.wait_exit_code_within(EXIT_TIMEOUT).await
    }

    /// Waits for the process to exit and returns its exit code, -1 after a signal; `None` if
    /// it takes longer than `timeout`.
    pub async fn wait_exit_code_within(&mut self, timeout: Duration) -> Option<i32> {
        let status = self.wait_exit(timeout).await?;
        Some(status.code().unwrap_or(-1))
    }

    /// Returns the largest resident memory that the process has had, in bytes; zero if it cannot be
    /// read.
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Returns the processor time and memory of the process; zero if they cannot be read.
    pub fn usage(&self) -> Usage {
        let folder = format!("/proc/{}", self.child.id());
        let stat = fs::read_to_string(format!("{folder}/stat")).unwrap_or_default();
        // The process name is in parentheses and may contain spaces, so fields are counted
        // from 0 after the closing one: 11 and 12 are user and kernel time in clock ticks.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |field: usize| {
            fields.get(field).and_then(|text| text.parse::<f64>().ok()).unwrap_or_default()
        };
        let cpu_seconds = (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_SECOND;
        let status = fs::read_to_string(format!("{folder}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|text| text.trim().split(' ').next()?.parse().ok());
        Usage { cpu_seconds, memory_bytes: kilobytes.unwrap_or(0) * 1024 }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Running `rosemarymoord` process.
pub struct Daemon {
    process: Process,
    http: SocketAddr,
}

impl Daemon {
    /// Starts the daemon with a settings file; `http` is the address that the settings give it.
    ///
    /// # Errors
    ///
    /// Fails like [`Process::spawn`].
    pub fn spawn(
        binary: &Path,
        settings: &Path,
        log: &Path,
        http: SocketAddr,
    ) -> io::Result<Daemon> {
        let args = vec![settings.as_os_str().to_owned()];
        Ok(Daemon { process: Process::spawn(binary, args, log, LogOutput::File)?, http })
    }

    /// Returns the HTTP address for callers, health and readiness.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Waits until `GET /ready` answers 200; returns false after `timeout` or an exit.
    pub async fn wait_ready(&mut self, timeout: Duration) -> bool {
        let client = http_client::open(ConnectionReuse::Never);
        let url = format!("http://{}/ready", self.http);
        let ready = async {
            loop {
                if self.exit_status().is_some() {
                    return false;
                }
                let resp = client.get(&url).timeout(Duration::from_secs(1)).send().await;
                if resp.is_ok_and(|resp| resp.status() == 200) {
                    return true;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, ready).await.unwrap_or(false)
    }
}

impl Deref for Daemon {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for Daemon {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

fn start(binary: &Path, args: &[OsString], log: &Path, output: LogOutput) -> io::Result<Child> {
    let err = File::options().create(true).append(true).open(log)?;
    let out = match output {
        LogOutput::File => Stdio::from(err.try_clone()?),
        LogOutput::UnreadPipe => Stdio::piped(),
    };
    Command::new(binary).args(args).stdin(Stdio::null()).stdout(out).stderr(err).spawn()
}
