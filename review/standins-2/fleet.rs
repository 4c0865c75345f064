//! Processes of the project, started with the command and the settings of the deploy file.

use std::fs::{self, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::client;
use super::worker::free_address;

/// Bounds that the settings name, as on the users' sheets.
const GRACE_S: u32 = 8;

/// Process of the project; dropping it ends it.
pub struct Process {
    pub name: String,
    settings: PathBuf,
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl Process {
    /// Returns the resident memory in kilobytes; 0 if the process has ended.
    pub fn memory_kb(&self) -> u64 {
        let text =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
    }

    /// Returns the processor time that the process has used, in milliseconds.
    pub fn processor_ms(&self) -> u64 {
        let text =
            fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after_name = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<u64> =
            after_name.split(' ').map(|word| word.parse().unwrap_or(0)).collect();
        let ticks: u64 = fields.iter().skip(12).take(2).sum();
        ticks * 10
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let _ = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status();
    }

    /// Waits until a process that was told to stop has ended, and starts it again.
    pub fn restart(mut self) -> Process {
        let _ = self.child.wait();
        let child = spawn(&self.settings);
        let (name, settings) = (self.name.clone(), self.settings.clone());
        Process { name, settings, child, callers: self.callers, ready: self.ready }
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Folder of a case's temporary files.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Starts an entry with the settings of `deploy/entry.ini`.
pub fn start_entry(folder: &Path, name: &str, store: SocketAddr) -> Process {
    let (callers, ready) = (free_address(), free_address());
    let settings = format!(
        "[process]\nname = {name}\nrole = direct-entry\ndata_center = zone-a\nlog_level = info\n\n\
         [listen]\ncallers = {callers}\nready = {ready}\ninternal = {}\nmetrics = {}\n\n\
         [platform]\nstore = {store}\ngrace_s = {GRACE_S}\n\n[regions]\nzone-a = region-a\n\n\
         [retries]\nratio = 0.2\nconstant = 52\nwindow_s = 10\n",
        free_address(),
        free_address()
    );
    start(folder, name, &settings, callers, ready)
}

/// Starts a budget server beside a worker with the settings of `deploy/budget-server.ini`.
pub fn start_budget_server(
    folder: &Path,
    name: &str,
    store: SocketAddr,
    app: SocketAddr,
) -> Process {
    let internal = free_address();
    let settings = format!(
        "[process]\nname = {name}\nrole = budget-server\ndata_center = zone-a\nlog_level = info\n\n\
         [listen]\ninternal = {internal}\nmetrics = {}\n\n\
         [platform]\nstore = {store}\ngrace_s = {GRACE_S}\n\n[target]\naddress = {app}\n",
        free_address()
    );
    start(folder, name, &settings, internal, internal)
}

fn start(
    folder: &Path,
    name: &str,
    settings: &str,
    callers: SocketAddr,
    ready: SocketAddr,
) -> Process {
    let path = folder.join(format!("{name}.ini"));
    fs::write(&path, settings).expect("the settings can be written");
    let child = spawn(&path);
    Process { name: name.to_owned(), settings: path, child, callers, ready }
}

/// Starts the daemon with the command of the deploy file.
fn spawn(settings: &Path) -> Child {
    let log = OpenOptions::new().create(true).append(true).open(settings.with_extension("log"));
    let log = log.expect("a log file");
    Command::new("target/release/rosemarymoord")
        .arg("--config")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .expect("the daemon is built")
}

/// Waits until an entry is ready; returns whether it is within the time.
pub fn wait_ready(entry: &Process, timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if client::get_status(entry.ready, "/readiness") == Some(200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
