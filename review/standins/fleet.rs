//! Small deployment: the project's own processes, started with the command of the deploy file and
//! settings from its templates, before stand-ins of the platform and the workers.

use std::fs::{self, File};
use std::io::{Error, Result};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::read_head;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Pace, Process, Worker};

/// Longest wait until an entry is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time from the start of the machines to the first request, as on the sheets.
pub const LEAD: Duration = Duration::from_secs(10);

/// Delay after which the platform starts a process again that was killed.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Process ids of all processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills what was started, if a case takes too long.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

/// Machine with one process of the system.
struct Machine {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    /// Address for clients, and of the readiness check; only of entries.
    front: Option<(SocketAddr, SocketAddr)>,
    child: Option<Child>,
}

/// Running deployment; all its processes end with it.
pub struct Fleet {
    pub store: Store,
    pub workers: Vec<Worker>,
    machines: Vec<Machine>,
    root: PathBuf,
    folder: PathBuf,
    pub record: Record,
}

/// What a deployment consists of.
#[derive(Clone, Copy)]
pub struct Plan {
    pub entries: usize,
    pub workers: usize,
    /// Number of machines beside workers, each with a budget server.
    pub servers: usize,
    pub prepaid: u64,
    pub pace: Pace,
}

impl Fleet {
    /// Starts everything and waits until clients may send.
    pub fn start(root: &Path, record: &Record, plan: Plan) -> Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("rosemarymoor-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store_address = free_address(200)?;
        let store = Store::bind(store_address)?;
        store.put("op/config", &manifest(plan.prepaid));
        let mut fleet = Fleet {
            store,
            workers: Vec::new(),
            machines: Vec::new(),
            root: root.to_owned(),
            folder,
            record: record.clone(),
        };
        for number in 1..=plan.workers {
            let process = Process {
                id: format!("i-worker-{number}"),
                version: "v1",
                born: unix_ms(),
                address: free_address(100 + number as u8)?,
            };
            let worker = Worker::start(process, plan.pace, record)?;
            worker.register(&fleet.store);
            fleet.workers.push(worker);
        }
        for number in 1..=plan.servers {
            let app = fleet.workers.get(number - 1).map(|worker| worker.process.address);
            fleet.add_server(&format!("side-leics-{number}"), number as u8, store_address, app)?;
        }
        for number in 1..=plan.entries {
            fleet.add_entry(&format!("front-leics-{number}"), 50 + number as u8, store_address)?;
        }
        let names: Vec<String> = fleet.machines.iter().map(|machine| machine.name.clone()).collect();
        let begun = Instant::now();
        for name in &names {
            fleet.run(name)?;
        }
        for name in names.iter().filter(|name| name.starts_with("front")) {
            fleet.wait_ready(name)?;
        }
        std::thread::sleep(LEAD.saturating_sub(begun.elapsed()));
        Ok(fleet)
    }

    fn add_entry(&mut self, name: &str, host: u8, store: SocketAddr) -> Result<()> {
        let (front, ready) = (free_address(host)?, free_address(host)?);
        let values = [
            ("bind.front", front.to_string()),
            ("bind.ready", ready.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "56".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
        ];
        self.add(name, "deploy/entry.ini", host, store, &values, None, Some((front, ready)))
    }

    fn add_server(&mut self, name: &str, host: u8, store: SocketAddr, app: Option<SocketAddr>) -> Result<()> {
        self.add(name, "deploy/budget-server.ini", host, store, &[], app, None)
    }

    #[allow(clippy::too_many_arguments)]
    fn add(
        &mut self,
        name: &str,
        template: &str,
        host: u8,
        store: SocketAddr,
        values: &[(&str, String)],
        app: Option<SocketAddr>,
        front: Option<(SocketAddr, SocketAddr)>,
    ) -> Result<()> {
        let mut text = fs::read_to_string(self.root.join(template))?;
        let (internal, metrics) = (free_address(host)?, free_address(host)?);
        text = text.replace("{{ip}}:{{internal_port_range.0}}", &internal.to_string());
        text = text.replace("{{ip}}:9100", &metrics.to_string());
        let common = [
            ("node_name", name.to_owned()),
            ("zone", "leics".to_owned()),
            ("platform.address", store.to_string()),
            ("bounds.grace_s", "8".to_owned()),
        ];
        for (key, value) in common.iter().chain(values) {
            text = text.replace(&format!("{{{{{key}}}}}"), value);
        }
        text = text.replace("{{#zones}}{{@}} = {{.}}\n{{/zones}}", "leics = midlands\n");
        text = match app {
            Some(app) => text.replace("{{#app}}", "").replace("{{/app}}", "").replace("{{app}}", &app.to_string()),
            None => text.split("{{#app}}").next().unwrap_or_default().to_owned(),
        };
        if text.contains("{{") {
            return Err(Error::other(format!("{template} has a placeholder that is not known here")));
        }
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        self.machines.push(Machine { name: name.to_owned(), settings, log, front, child: None });
        Ok(())
    }

    fn machine(&mut self, name: &str) -> &mut Machine {
        let found = self.machines.iter_mut().find(|machine| machine.name == name);
        found.expect("the deployment has this machine")
    }

    /// Returns an entry's address for clients.
    pub fn front(&self, number: usize) -> SocketAddr {
        let name = format!("front-leics-{number}");
        let found = self.machines.iter().find(|machine| machine.name == name);
        found.and_then(|machine| machine.front).expect("the deployment has this entry").0
    }

    /// Starts the process of a machine.
    pub fn run(&mut self, name: &str) -> Result<()> {
        let root = self.root.clone();
        let machine = self.machine(name);
        let log = File::options().create(true).append(true).open(&machine.log)?;
        let command = root.join("target/release/rosemarymoord");
        let child = Command::new(command)
            .arg("--config")
            .arg(&machine.settings)
            .current_dir(&root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        machine.child = Some(child);
        self.record.line(&format!("process started machine={name}"));
        Ok(())
    }

    /// Kills the processes of machines at the same moment.
    pub fn kill(&mut self, names: &[&str]) {
        for name in names {
            let machine = self.machine(name);
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
            }
        }
        for name in names {
            let machine = self.machine(name);
            if let Some(mut child) = machine.child.take() {
                let _ = child.wait();
            }
            self.record.line(&format!("process killed machine={name}"));
        }
    }

    /// Returns the names of all machines of the system.
    pub fn names(&self) -> Vec<String> {
        self.machines.iter().map(|machine| machine.name.clone()).collect()
    }

    /// Waits until an entry is ready.
    pub fn wait_ready(&mut self, name: &str) -> Result<()> {
        let Some((_, ready)) = self.machine(name).front else { return Ok(()) };
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if is_ready(ready) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(Error::other(format!("{name} is not ready")))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    if std::io::Write::write_all(&mut stream, request).is_err() {
        return false;
    }
    let head = read_head(&mut stream, &mut Vec::new());
    head.is_some_and(|lines| lines[0].contains(" 200 "))
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Returns a free address of a machine, which has a loopback address of its own.
fn free_address(host: u8) -> Result<SocketAddr> {
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, 100 + middle % 100, low, host));
    Ok(SocketAddr::new(ip, TcpListener::bind((ip, 0))?.local_addr()?.port()))
}

/// Returns the operator's first manifest: one service of model workers, a route whose streams may be
/// resumed and one whose streams may not, and one tenant.
fn manifest(prepaid: u64) -> String {
    let route = |name: &str, attempts: u32, resumable: bool| {
        format!(
            r#"{{"name":"r-{name}","host":"calls.example","prefix":"/{name}/","kind":"streaming","timeout_ms":10000,"goal_ms":1000,"priority":0,"service":"models","max_attempts":{attempts},"public":false,"affinity":true,"resumable":{resumable},"gap_goal_ms":300}}"#
        )
    };
    let routes = [route("draft", 1, false), route("notes", 2, true)].join(",");
    let engine = r#"{"slots":64,"kv_tokens":489814,"kv_bytes":35136,"link_mbps":180000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}"#;
    let service = format!(
        r#"{{"name":"models","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"engine":{engine}}}"#
    );
    let limits = r#"{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;
    let tenant = format!(r#"{{"name":"shop","api_keys":["key-of-shop"],"priority":1,"prepaid":{prepaid}}}"#);
    format!(
        r#"{{"version":7,"routes":[{routes}],"services":[{service}],"limits":{limits},"tenants":[{tenant}]}}"#
    )
}
