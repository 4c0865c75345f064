//! One real process of the fleet.

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

/// Longest wait for a process to end.
const END_LIMIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Who reads a process's standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// A file takes every line.
    File,
    /// It is a pipe that nobody reads.
    UnreadPipe,
}

/// Processor time and memory that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
}

/// Process that can be started again; it is killed when it is dropped.
pub struct Process {
    binary: PathBuf,
    args: Vec<OsString>,
    log: PathBuf,
    output: LogOutput,
    child: Child,
}

impl Process {
    /// Starts a program; what it writes is appended to `log`.
    pub fn spawn(
        binary: &Path,
        args: Vec<OsString>,
        log: &Path,
        output: LogOutput,
    ) -> io::Result<Process> {
        let child = start(binary, &args, log, output)?;
        Ok(Process { binary: binary.to_owned(), args, log: log.to_owned(), output, child })
    }

    /// Starts the process again after it ended or was killed.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = start(&self.binary, &self.args, &self.log, self.output)?;
        Ok(())
    }

    /// Log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process without its knowing.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to drain and stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended; `None` if it takes longer than `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let exit = async {
            loop {
                if let Some(status) = self.exit_status() {
                    return status;
                }
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(limit, exit).await.ok()
    }

    /// Exit code, -1 after a signal; `None` if the process does not end.
    pub async fn wait_exit_code(&mut self) -> Option<i32> {
        self.wait_exit_code_within(END_LIMIT).await
    }

    /// Exit code, -1 after a signal; `None` if it takes longer than `limit`.
    pub async fn wait_exit_code_within(&mut self, limit: Duration) -> Option<i32> {
        let status = self.wait_exit(limit).await?;
        Some(status.code().unwrap_or(-1))
    }

    /// Processor time and memory used so far.
    pub fn usage(&self) -> Usage {
        let folder = format!("/proc/{}", self.child.id());
        let stat = fs::read_to_string(format!("{folder}/stat")).unwrap_or_default();
        // The fields after the parenthesised name begin with the state.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| {
            fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or_default()
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

/// Running `rosemarymoord` of the product's own fleet.
pub struct Daemon {
    process: Process,
    http: SocketAddr,
}

impl Daemon {
    /// Starts the daemon with the settings file.
    pub fn spawn(
        binary: &Path,
        settings: &Path,
        log: &Path,
        http: SocketAddr,
    ) -> io::Result<Daemon> {
        let args = vec![settings.as_os_str().to_owned()];
        Ok(Daemon { process: Process::spawn(binary, args, log, LogOutput::File)?, http })
    }

    /// Address for callers, health and readiness.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Waits until `GET /ready` answers 200; false after `limit` or an exit.
    pub async fn wait_ready(&mut self, limit: Duration) -> bool {
        let client = http_client::open(ConnectionReuse::Never);
        let url = format!("http://{}/ready", self.http);
        let ready = async {
            loop {
                if self.exit_status().is_some() {
                    return false;
                }
                let answer = client.get(&url).timeout(Duration::from_secs(1)).send().await;
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(limit, ready).await.unwrap_or(false)
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
