//! The processes of a small deployment on loopback: three control nodes, three store nodes, one to
//! six front machines with their agents, and a spare store node that can be added later.

use std::collections::HashMap;
use std::fs::{self, File};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// The number of clusters that this process has created.
static CLUSTER_COUNT: AtomicU16 = AtomicU16::new(0);

/// Machines of each kind, by the last octet of their loopback address.
const CONTROL: std::ops::Range<u8> = 2..5;
const STORE: std::ops::Range<u8> = 5..8;
const FRONT_MACHINES: [u8; 6] = [8, 11, 12, 13, 14, 15];
/// The machine of the spare store node. It is in the region that has only one other store node.
const SPARE_STORE: u8 = 10;
/// The zone in the southern region; the other zones are in the northern one.
const SOUTHERN_ZONE: u8 = 1;
/// The regions of all clusters.
pub const REGIONS: [&str; 2] = ["north", "south"];
/// Ports per machine: four internal ones, then those for operators, clients and readiness checks.
const PORTS_PER_MACHINE: u16 = 7;
const OPERATOR_PORT: u16 = 4;
const CLIENT_PORT: u16 = 5;
const READY_PORT: u16 = 6;
/// The distance between two candidate base ports.
const BASE_PORT_STEP: u16 = 20;
/// `graceS` of the settings (4 s), with a margin for the operating system.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(4500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why an operation on a cluster failed.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// No range of ports is free on all addresses of the cluster.
    #[error("no range of ports is free on all machines of {0}.x and on 127.0.0.1")]
    NoPorts(String),
    /// A file or directory of the cluster cannot be written.
    #[error("{path}: {source}")]
    File {
        /// The path of the file or directory.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A process could not be started or signalled.
    #[error("process {name}: {source}")]
    Process {
        /// The name of the process: its role and machine.
        name: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A condition was not met within its time limit.
    #[error("timed out waiting for {0}")]
    Timeout(String),
    /// `willowslip ctl` failed, or printed something other than JSON.
    #[error("ctl failed: {0}")]
    CtlFailed(String),
}

/// Options of a cluster.
#[derive(Clone, Debug, Default)]
pub struct ClusterOptions {
    /// The first three octets of its loopback addresses; clusters that run concurrently must differ.
    pub network: String,
    /// Additional lines for `[constraints]` in the settings.
    pub constraints: String,
    /// The number of front machines, up to six; 0 means one.
    pub front_count: usize,
    /// Whether to keep its directory, with settings, logs and data, when it is dropped.
    pub keep_dir: bool,
}

/// A cluster of processes. Dropping it kills them, and removes its directory unless `keep_dir` is set.
pub struct Cluster {
    program: PathBuf,
    dir: PathBuf,
    options: ClusterOptions,
    base_port: u16,
    running: HashMap<String, Child>,
    start_counts: HashMap<String, u32>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !self.options.keep_dir {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Cluster {
    /// Creates a cluster without starting its processes. `program` is the path of the `willowslip` binary.
    ///
    /// # Errors
    /// No ports are free, or its directory cannot be created.
    pub fn new(program: &Path, options: ClusterOptions) -> Result<Cluster, ClusterError> {
        let is_free = |base: &u16| {
            let machines = CONTROL.start..=FRONT_MACHINES[FRONT_MACHINES.len() - 1];
            let machine_ips = machines.map(|machine| format!("{}.{machine}", options.network));
            let mut addresses = machine_ips.chain(["127.0.0.1".to_owned()]);
            addresses
                .all(|ip| (*base..*base + PORTS_PER_MACHINE).all(|port| TcpListener::bind((ip.as_str(), port)).is_ok()))
        };
        let number = CLUSTER_COUNT.fetch_add(1, Ordering::Relaxed);
        let first_port = 20_000 + (std::process::id() % 100) as u16 * 200 + number % 10 * BASE_PORT_STEP;
        let base_port = (first_port..60_000).step_by(usize::from(BASE_PORT_STEP)).find(is_free);
        let base_port = base_port.ok_or_else(|| ClusterError::NoPorts(options.network.clone()))?;
        let unique = format!("willowslip-soak-{}-{}-{base_port}", std::process::id(), options.network);
        let dir = std::env::temp_dir().join(unique);
        fs::create_dir_all(&dir).map_err(|source| ClusterError::File { path: dir.clone(), source })?;
        let program = program.to_owned();
        Ok(Cluster { program, dir, options, base_port, running: HashMap::new(), start_counts: HashMap::new() })
    }

    /// Starts every process but the spare store node and submits `config` as the first
    /// configuration. Returns once the fronts are ready.
    ///
    /// # Errors
    /// A process cannot be started, or the configuration or a front takes longer than a minute.
    pub fn start(&mut self, config: &serde_json::Value) -> Result<(), ClusterError> {
        for name in self.all_processes() {
            self.spawn(&name)?;
        }
        self.configure(config)?;
        self.wait_ready()
    }

    /// The names (role and machine) of the processes that every cluster has, with the first front machine.
    pub fn processes() -> Vec<String> {
        let first = FRONT_MACHINES[0];
        let fronts = [format!("front-{first}"), format!("agent-{first}")];
        Cluster::control_nodes().into_iter().chain(Cluster::stores()).chain(fronts).collect()
    }

    /// The names of the control nodes.
    pub fn control_nodes() -> Vec<String> {
        CONTROL.map(|machine| format!("control-{machine}")).collect()
    }

    /// The names of the store nodes, without the spare one.
    pub fn stores() -> Vec<String> {
        STORE.map(|machine| format!("store-{machine}")).collect()
    }

    /// The names of all processes of this cluster, without the spare store node.
    pub fn all_processes(&self) -> Vec<String> {
        let others = self.front_machines()[1..].iter();
        let others = others.flat_map(|machine| [format!("front-{machine}"), format!("agent-{machine}")]);
        Cluster::processes().into_iter().chain(others).collect()
    }

    fn front_machines(&self) -> &'static [u8] {
        &FRONT_MACHINES[..self.options.front_count.clamp(1, FRONT_MACHINES.len())]
    }

    /// The name of the spare store node.
    pub fn spare_store() -> String {
        format!("store-{SPARE_STORE}")
    }

    /// The process id of a process that was started and not killed or terminated since.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.running.get(name).map(Child::id)
    }

    /// Whether a process was started and not killed or terminated since; it may have exited by itself.
    pub fn is_running(&self, name: &str) -> bool {
        self.running.contains_key(name)
    }

    /// The addresses of the fronts for clients.
    pub fn fronts(&self) -> Vec<String> {
        let address = |machine: &u8| format!("{}:{}", self.ip(*machine), self.base_port + CLIENT_PORT);
        self.front_machines().iter().map(address).collect()
    }

    /// Replaces the configuration, and retries until that is acknowledged.
    ///
    /// # Errors
    /// It is not acknowledged within a minute.
    pub fn configure(&self, config: &serde_json::Value) -> Result<(), ClusterError> {
        wait_for("the configuration to be acknowledged", Duration::from_secs(60), || {
            self.configure_once(config).is_ok()
        })
    }

    /// Replaces the configuration, without retries.
    ///
    /// # Errors
    /// The request is not acknowledged; the configuration may be in effect nevertheless.
    pub fn configure_once(&self, config: &serde_json::Value) -> Result<(), ClusterError> {
        let path = self.dir.join("config.json");
        fs::write(&path, config.to_string()).map_err(|source| ClusterError::File { path: path.clone(), source })?;
        self.ctl(&["config", "replace", &path.display().to_string()]).map(|_| ())
    }

    /// Runs `willowslip ctl` and returns the JSON that it prints.
    ///
    /// # Errors
    /// It exits with an error, or does not print JSON.
    pub fn ctl(&self, arguments: &[&str]) -> Result<serde_json::Value, ClusterError> {
        let at: Vec<String> = CONTROL.map(|m| format!("{}:{}", self.ip(m), self.base_port + OPERATOR_PORT)).collect();
        let mut command = Command::new(&self.program);
        command.args(["ctl", "--json", "--within", "5", "--at", &at.join(",")]).args(arguments);
        let output = command.output().map_err(|source| ClusterError::Process { name: "ctl".into(), source })?;
        let failure = || ClusterError::CtlFailed(String::from_utf8_lossy(&output.stderr).into_owned());
        if !output.status.success() {
            return Err(failure());
        }
        serde_json::from_slice(&output.stdout).map_err(|_| failure())
    }

    /// Starts a process that is not running.
    ///
    /// # Errors
    /// Its settings cannot be written, or it cannot be started.
    pub fn spawn(&mut self, name: &str) -> Result<(), ClusterError> {
        let start_count = self.start_counts.entry(name.to_owned()).or_insert(0);
        *start_count += 1;
        let is_first = *start_count == 1 && name != Cluster::spare_store();
        let data = self.dir.join(name);
        let settings = self.dir.join(format!("{name}.toml"));
        let log = self.dir.join(format!("{name}.log"));
        let file_error = |path: &Path| {
            let path = path.to_owned();
            move |source| ClusterError::File { path, source }
        };
        fs::create_dir_all(&data).map_err(file_error(&data))?;
        fs::write(&settings, self.settings(name, is_first)).map_err(file_error(&settings))?;
        let log_file: File = File::options().create(true).append(true).open(&log).map_err(file_error(&log))?;
        let (role, _) = split_name(name);
        let mut command = Command::new(&self.program);
        // As on the machines of a deployment, the allocator uses a single arena.
        command
            .arg(role)
            .env("MALLOC_ARENA_MAX", "1")
            .env("WILLOWSLIP_SETTINGS", &settings)
            .stderr(Stdio::from(log_file));
        let child = command.spawn().map_err(|source| ClusterError::Process { name: name.into(), source })?;
        self.running.insert(name.to_owned(), child);
        Ok(())
    }

    /// Sends a signal, such as `-STOP`, to a process; does nothing if it is not running.
    ///
    /// # Errors
    /// `kill` cannot be run.
    pub fn signal(&self, name: &str, signal: &str) -> Result<(), ClusterError> {
        let Some(child) = self.running.get(name) else { return Ok(()) };
        let status = Command::new("kill").args([signal, &child.id().to_string()]).status();
        status.map(|_| ()).map_err(|source| ClusterError::Process { name: name.into(), source })
    }

    /// Sends SIGTERM to a process, as the platform does, and waits until it has exited.
    ///
    /// # Errors
    /// It did not exit within the grace period, and was killed.
    pub fn terminate(&mut self, name: &str) -> Result<(), ClusterError> {
        self.signal(name, "-TERM")?;
        let Some(mut child) = self.running.remove(name) else { return Ok(()) };
        let waited =
            wait_for(&format!("{name} to exit"), TERMINATION_TIMEOUT, || matches!(child.try_wait(), Ok(Some(_))));
        if waited.is_err() {
            let _ = child.kill();
            let _ = child.wait();
        }
        waited
    }

    /// Waits until all fronts are ready.
    ///
    /// # Errors
    /// A front is not ready within a minute.
    pub fn wait_ready(&self) -> Result<(), ClusterError> {
        for front in self.front_machines() {
            let ready = format!("{}:{}", self.ip(*front), self.base_port + READY_PORT);
            let request = "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
            let is_ready = || {
                crate::exchange(&ready, request, Duration::from_secs(1)).is_some_and(|response| response.status == 200)
            };
            wait_for(&format!("front-{front} to become ready"), Duration::from_secs(60), is_ready)?;
        }
        Ok(())
    }

    /// Kills a process and waits until it has exited.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.running.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills a process and deletes its data; `spawn` starts it again.
    pub fn kill_and_wipe_disk(&mut self, name: &str) {
        self.kill(name);
        let _ = fs::remove_dir_all(self.dir.join(name));
    }

    /// The directory with the settings, logs and data of all processes.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// The log of a process so far, over all its starts.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// The names of processes that exited by themselves.
    pub fn exited_processes(&mut self) -> Vec<String> {
        let exited = self.running.iter_mut().filter_map(|(name, child)| match child.try_wait() {
            Ok(Some(_)) => Some(name.clone()),
            _ => None,
        });
        exited.collect()
    }

    fn ip(&self, machine: u8) -> String {
        format!("{}.{machine}", self.options.network)
    }

    fn settings(&self, name: &str, is_first: bool) -> String {
        let (role, machine) = split_name(name);
        let (base, ip) = (self.base_port, self.ip(machine));
        let node = if role == "agent" { format!("front-{machine}") } else { name.to_owned() };
        let listen = match role {
            "control" => format!("control = \"{ip}:{}\"", base + OPERATOR_PORT),
            "front" => format!("front = \"{ip}:{}\"\nready = \"{ip}:{}\"", base + CLIENT_PORT, base + READY_PORT),
            _ => String::new(),
        };
        let seeds: Vec<String> =
            CONTROL.map(|m| format!("\"{}:{}\"", self.ip(m), self.base_port + OPERATOR_PORT)).collect();
        let zones: Vec<String> = (0..3).map(|zone| format!("z{zone} = \"{}\"", region(zone))).collect();
        let zones = zones.join("\n");
        format!(
            "node = \"{node}\"\nip = \"{ip}\"\nzone = \"z{}\"\nregion = \"{}\"\nportRange = [{base}, {}]\nseeds = [{}]\n\
             initialStart = {is_first}\ndataDir = \"{}\"\n[listen]\n{listen}\n[limits]\nmemoryMb = 200\ndiskMb = 200\n\
             [tolerance]\nmachines = 1\n[constraints]\nquietMs = 3000\nackMs = 5000\ngraceS = 4\nsettleS = 4\n\
             drainMs = 3000\nconvergeMs = 3000\nrollbackMs = 5000\nstatusS = 90\nnotifyS = 5\npeakWindowS = 5\n\
             exposure = 0.1\n{}\n[zones]\n{zones}\n",
            machine % 3,
            region(machine % 3),
            base + 3,
            seeds.join(","),
            self.dir.join(name).display(),
            self.options.constraints,
        )
    }
}

/// The region of a zone.
fn region(zone: u8) -> &'static str {
    REGIONS[usize::from(zone == SOUTHERN_ZONE)]
}

/// Splits the name of a process into its role and machine.
fn split_name(name: &str) -> (&str, u8) {
    let (role, machine) = name.split_once('-').unwrap_or((name, ""));
    (role, machine.parse().unwrap_or(0))
}

/// Polls a condition until it is met.
///
/// # Errors
/// The condition is not met within `limit`.
fn wait_for(what: &str, limit: Duration, mut is_met: impl FnMut() -> bool) -> Result<(), ClusterError> {
    let deadline = Instant::now() + limit;
    while !is_met() {
        if Instant::now() >= deadline {
            return Err(ClusterError::Timeout(what.to_owned()));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
