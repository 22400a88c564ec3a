//! The processes of a small deployment on loopback: three control nodes, three store nodes and
//! one to six front machines with their agents, and one more store node that may be added.

use std::collections::HashMap;
use std::fs::{self, File};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// How many clusters this process has begun.
static CLUSTERS: AtomicU16 = AtomicU16::new(0);

/// Machines of each kind, by the last part of their loopback address.
const CONTROL: std::ops::Range<u8> = 2..5;
const STORE: std::ops::Range<u8> = 5..8;
/// The first is 8.
const FRONT_MACHINES: [u8; 6] = [8, 11, 12, 13, 14, 15];
/// The machine of the store node that may be added; it stands in the region that has one.
const SPARE_STORE: u8 = 10;
/// The zone of the southern region; the others are in the northern one.
const SOUTHERN_ZONE: u8 = 1;
/// The regions of all clusters.
pub const REGIONS: [&str; 2] = ["north", "south"];
/// Ports that a machine uses: four inner ones, the operator's, the clients' and the ready one.
const PORTS: u16 = 7;
const OPERATOR_PORT: u16 = 4;
const CLIENT_PORT: u16 = 5;
const READY_PORT: u16 = 6;
/// Ports between two clusters.
const CLUSTER_STEP: u16 = 20;
/// `graceS` of the settings, and a little for the system.
const GRACE: Duration = Duration::from_millis(4500);
/// How often something that is waited for is looked at.
const POLL: Duration = Duration::from_millis(50);

/// Why a cluster cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// No range of ports is free on all its addresses.
    #[error("no free ports on {0}.x")]
    NoPorts(String),
    /// A file or folder of the cluster cannot be written.
    #[error("{path}: {source}")]
    File {
        /// Which one.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A process could not be started or signalled.
    #[error("process {name}: {source}")]
    Process {
        /// The role and machine.
        name: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// Something did not come about in time.
    #[error("not in time: {0}")]
    Timeout(String),
    /// The operator's client was refused.
    #[error("ctl {0}")]
    CtlFailed(String),
}

/// What may differ from one cluster to another.
#[derive(Clone, Debug, Default)]
pub struct ClusterOptions {
    /// The first three parts of its loopback addresses; clusters that run at once use others.
    pub network: String,
    /// Lines for `[constraints]` besides the usual ones.
    pub constraints: String,
    /// How many front machines it has, up to six; 0: one.
    pub front_count: usize,
    /// Whether its folder, with settings, logs and data, outlasts it.
    pub keep_dir: bool,
}

/// A cluster of processes; they end, and its folder goes, with the value.
pub struct Cluster {
    program: PathBuf,
    folder: PathBuf,
    options: ClusterOptions,
    base_port: u16,
    running: HashMap<String, Child>,
    started: HashMap<String, u32>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !self.options.keep_dir {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Cluster {
    /// A cluster of which nothing runs yet. `program` is the path of the `willowslip` binary.
    ///
    /// # Errors
    /// No free ports, or its folder cannot be made.
    pub fn new(program: &Path, options: ClusterOptions) -> Result<Cluster, ClusterError> {
        let is_free = |base: &u16| {
            let machines = CONTROL.start..=FRONT_MACHINES[FRONT_MACHINES.len() - 1];
            let own = machines.map(|machine| format!("{}.{machine}", options.network));
            let mut addresses = own.chain(["127.0.0.1".to_owned()]);
            addresses.all(|ip| (*base..*base + PORTS).all(|port| TcpListener::bind((ip.as_str(), port)).is_ok()))
        };
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let from = 20_000 + (std::process::id() % 100) as u16 * 200 + number % 10 * CLUSTER_STEP;
        let base_port = (from..60_000).step_by(usize::from(CLUSTER_STEP)).find(is_free);
        let base_port = base_port.ok_or_else(|| ClusterError::NoPorts(options.network.clone()))?;
        let unique = format!("willowslip-soak-{}-{}-{base_port}", std::process::id(), options.network);
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(&folder).map_err(|source| ClusterError::File { path: folder.clone(), source })?;
        let program = program.to_owned();
        Ok(Cluster { program, folder, options, base_port, running: HashMap::new(), started: HashMap::new() })
    }

    /// Starts every process; `config` is the operator's first configuration. Returns once the
    /// fronts are ready.
    ///
    /// # Errors
    /// A process does not start, or the cluster is not ready within a minute.
    pub fn start(&mut self, config: &serde_json::Value) -> Result<(), ClusterError> {
        for name in self.all_processes() {
            self.spawn(&name)?;
        }
        self.configure(config)?;
        self.wait_ready()
    }

    /// The names of the processes that each cluster has: a role and a machine.
    pub fn processes() -> Vec<String> {
        let first = FRONT_MACHINES[0];
        let fronts = [format!("front-{first}"), format!("agent-{first}")];
        Cluster::control_nodes().into_iter().chain(Cluster::stores()).chain(fronts).collect()
    }

    /// The names of the control nodes.
    pub fn control_nodes() -> Vec<String> {
        CONTROL.map(|machine| format!("control-{machine}")).collect()
    }

    /// The names of the first store nodes.
    pub fn stores() -> Vec<String> {
        STORE.map(|machine| format!("store-{machine}")).collect()
    }

    /// The names of all processes of this cluster, but for a store node that is added.
    pub fn all_processes(&self) -> Vec<String> {
        let others = self.front_machines()[1..].iter();
        let others = others.flat_map(|machine| [format!("front-{machine}"), format!("agent-{machine}")]);
        Cluster::processes().into_iter().chain(others).collect()
    }

    fn front_machines(&self) -> &'static [u8] {
        &FRONT_MACHINES[..self.options.front_count.clamp(1, FRONT_MACHINES.len())]
    }

    /// The name of the store node that may be added.
    pub fn spare_store() -> String {
        format!("store-{SPARE_STORE}")
    }

    /// Whether a process runs, as far as is known.
    pub fn is_running(&self, name: &str) -> bool {
        self.running.contains_key(name)
    }

    /// The addresses at which clients reach it.
    pub fn fronts(&self) -> Vec<String> {
        let address = |machine: &u8| format!("{}:{}", self.ip(*machine), self.base_port + CLIENT_PORT);
        self.front_machines().iter().map(address).collect()
    }

    /// Gives it a whole configuration, again until it is acknowledged.
    ///
    /// # Errors
    /// It is not acknowledged within a minute.
    pub fn configure(&self, config: &serde_json::Value) -> Result<(), ClusterError> {
        wait_for("configuration", Duration::from_secs(60), || self.configure_once(config).is_ok())
    }

    /// Gives it a whole configuration once.
    ///
    /// # Errors
    /// It is not acknowledged, though it may be in force.
    pub fn configure_once(&self, config: &serde_json::Value) -> Result<(), ClusterError> {
        let path = self.folder.join("config.json");
        fs::write(&path, config.to_string()).map_err(|source| ClusterError::File { path: path.clone(), source })?;
        self.ctl(&["config", "replace", &path.display().to_string()]).map(|_| ())
    }

    /// Runs the operator's client, and returns the JSON that it prints.
    ///
    /// # Errors
    /// It ends with a failure, or prints no JSON.
    pub fn ctl(&self, arguments: &[&str]) -> Result<serde_json::Value, ClusterError> {
        let at: Vec<String> = CONTROL.map(|m| format!("{}:{}", self.ip(m), self.base_port + OPERATOR_PORT)).collect();
        let mut command = Command::new(&self.program);
        command.args(["ctl", "--json", "--within", "5", "--at", &at.join(",")]).args(arguments);
        let output = command.output().map_err(|source| ClusterError::Process { name: "ctl".into(), source })?;
        let refused = || ClusterError::CtlFailed(String::from_utf8_lossy(&output.stderr).into_owned());
        if !output.status.success() {
            return Err(refused());
        }
        serde_json::from_slice(&output.stdout).map_err(|_| refused())
    }

    /// Starts a process that does not run.
    ///
    /// # Errors
    /// Its settings cannot be written, or it does not start.
    pub fn spawn(&mut self, name: &str) -> Result<(), ClusterError> {
        let starts = self.started.entry(name.to_owned()).or_insert(0);
        *starts += 1;
        let is_first = *starts == 1 && name != Cluster::spare_store();
        let data = self.folder.join(name);
        let settings = self.folder.join(format!("{name}.toml"));
        let log = self.folder.join(format!("{name}.log"));
        let file_error = |path: &Path| {
            let path = path.to_owned();
            move |source| ClusterError::File { path, source }
        };
        fs::create_dir_all(&data).map_err(file_error(&data))?;
        fs::write(&settings, self.settings(name, is_first)).map_err(file_error(&settings))?;
        let log_file: File = File::options().create(true).append(true).open(&log).map_err(file_error(&log))?;
        let (role, _) = split(name);
        let mut command = Command::new(&self.program);
        command.arg(role).env("WILLOWSLIP_SETTINGS", &settings).stderr(Stdio::from(log_file));
        let child = command.spawn().map_err(|source| ClusterError::Process { name: name.into(), source })?;
        self.running.insert(name.to_owned(), child);
        Ok(())
    }

    /// Sends a process a signal, as `-STOP`.
    ///
    /// # Errors
    /// `kill` cannot be run.
    pub fn signal(&self, name: &str, signal: &str) -> Result<(), ClusterError> {
        let Some(child) = self.running.get(name) else { return Ok(()) };
        let status = Command::new("kill").args([signal, &child.id().to_string()]).status();
        status.map(|_| ()).map_err(|source| ClusterError::Process { name: name.into(), source })
    }

    /// Tells a process to end, as the platform does, and waits until it has.
    ///
    /// # Errors
    /// It runs on for longer than it is allowed to.
    pub fn terminate(&mut self, name: &str) -> Result<(), ClusterError> {
        self.signal(name, "-TERM")?;
        let Some(mut child) = self.running.remove(name) else { return Ok(()) };
        let waited = wait_for(&format!("the end of {name}"), GRACE, || matches!(child.try_wait(), Ok(Some(_))));
        if waited.is_err() {
            let _ = child.kill();
            let _ = child.wait();
        }
        waited
    }

    /// Waits until the fronts are ready.
    ///
    /// # Errors
    /// They are not within a minute.
    pub fn wait_ready(&self) -> Result<(), ClusterError> {
        for front in self.front_machines() {
            let ready = format!("{}:{}", self.ip(*front), self.base_port + READY_PORT);
            let request = "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
            let is_ready =
                || crate::exchange(&ready, request, Duration::from_secs(1)).is_some_and(|answer| answer.status == 200);
            wait_for("ready", Duration::from_secs(60), is_ready)?;
        }
        Ok(())
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.running.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills a process and empties its disk; it is started again with `spawn`.
    pub fn kill_and_wipe_disk(&mut self, name: &str) {
        self.kill(name);
        let _ = fs::remove_dir_all(self.folder.join(name));
    }

    /// Where its settings, logs and data are.
    pub fn dir(&self) -> &Path {
        &self.folder
    }

    /// What a process has written so far, over all its starts.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Processes that ended by themselves.
    pub fn exited_processes(&mut self) -> Vec<String> {
        let ended = self.running.iter_mut().filter_map(|(name, child)| match child.try_wait() {
            Ok(Some(_)) => Some(name.clone()),
            _ => None,
        });
        ended.collect()
    }

    fn ip(&self, machine: u8) -> String {
        format!("{}.{machine}", self.options.network)
    }

    fn settings(&self, name: &str, is_first: bool) -> String {
        let (role, machine) = split(name);
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
            self.folder.join(name).display(),
            self.options.constraints,
        )
    }
}

/// The region of a zone.
fn region(zone: u8) -> &'static str {
    REGIONS[usize::from(zone == SOUTHERN_ZONE)]
}

/// A process's role and machine.
fn split(name: &str) -> (&str, u8) {
    let (role, machine) = name.split_once('-').unwrap_or((name, ""));
    (role, machine.parse().unwrap_or(0))
}

/// Waits until something is so.
///
/// # Errors
/// It is not so within `limit`.
fn wait_for(what: &str, limit: Duration, mut is_so: impl FnMut() -> bool) -> Result<(), ClusterError> {
    let end = Instant::now() + limit;
    while !is_so() {
        if Instant::now() >= end {
            return Err(ClusterError::Timeout(what.to_owned()));
        }
        std::thread::sleep(POLL);
    }
    Ok(())
}
