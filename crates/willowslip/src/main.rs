//! The `willowslip` binary: one subcommand per node role, the operators' client and a checker for settings and
//! configurations.

mod ctl;
mod summary;

use clap::{Parser, Subcommand};
use config::Settings;
use std::process::ExitCode;
use tokio::sync::watch;

/// Package version and build commit, set by `build.rs`.
const VERSION: &str = env!("WILLOWSLIP_VERSION");

#[derive(Parser)]
#[command(name = "willowslip", version = VERSION, about = "Accepts, stores and delivers messages.")]
struct Cli {
    /// Log level: error, change or debug; overrides the settings.
    #[arg(long, global = true)]
    log: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Front machines: accepts messages from clients and carries out deliveries.
    Front,
    /// Front machines of a function platform: forwards requests and manages slots.
    Functions,
    /// Front machines of an API gateway: forwards requests to processors of the platform.
    Gateway,
    /// Front machines: maintains the session with the control plane and passes its updates to the front process.
    Agent,
    /// Store machines: owns and replicates message partitions.
    Store,
    /// Core machines: the Raft log, sessions, duties and the operator API.
    Control,
    /// Command-line client for operators.
    Ctl(ctl::Ctl),
    /// Validates a settings file or a configuration without applying it.
    Check {
        /// A settings file in TOML.
        #[arg(long)]
        settings: Option<String>,
        /// A configuration in JSON; `-` for standard input.
        #[arg(long)]
        config: Option<String>,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        Command::Ctl(c) => return ctl::run(c),
        Command::Check { settings, config } => return check(settings, config),
        _ => {}
    }
    let path = std::env::var("WILLOWSLIP_SETTINGS").unwrap_or_else(|_| "/etc/willowslip/local.toml".into());
    let settings = match Settings::load(&path) {
        Ok(c) => c,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let level = cli.log.clone().unwrap_or_else(|| settings.log_level.clone());
    if !level.is_empty() && !telemetry::set_level(&level) {
        eprintln!("--log: expected error, change or debug, got {level:?}");
        return ExitCode::from(2);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(r) => r,
        Err(e) => {
            eprintln!("runtime: {e}");
            return ExitCode::from(2);
        }
    };
    telemetry::end_process_on_panic();
    telemetry::change!("willowslip {VERSION}: {} on {}", settings.role, settings.node);
    let result = runtime.block_on(async {
        let (stop, stopped) = watch::channel(false);
        let (changed, updates) = watch::channel(settings.clone());
        tokio::spawn(handle_signals(stop, changed, path, cli.log));
        match cli.command {
            Command::Front => front::run(settings, stopped).await,
            Command::Functions => functions::run(settings, stopped).await,
            Command::Gateway => gateway::run(settings, stopped).await,
            Command::Agent => agent::run(settings, stopped, updates).await,
            Command::Store => store::run(settings, stopped, updates).await,
            _ => control::run(settings, stopped, updates).await,
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            telemetry::error!("{e}");
            ExitCode::from(2)
        }
    }
}

/// Handles SIGTERM and SIGINT by a graceful shutdown, and SIGHUP by reading the settings again. The file is also
/// polled, so a change is picked up without a signal.
async fn handle_signals(
    stop: watch::Sender<bool>,
    changed: watch::Sender<Settings>,
    path: String,
    log: Option<String>,
) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int), Ok(mut hup)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()), signal(SignalKind::hangup()))
    else {
        return;
    };
    let mut current_text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => telemetry::count("hangups"),
            _ = tokio::time::sleep(std::time::Duration::from_secs(5)) => {}
        }
        let Ok(text) = std::fs::read_to_string(&path) else { continue };
        if text == current_text {
            continue;
        }
        current_text = text;
        match Settings::parse(&current_text) {
            Ok(settings) => {
                telemetry::change!("settings changed");
                if log.is_none() && !settings.log_level.is_empty() {
                    telemetry::set_level(&settings.log_level);
                }
                let _ = changed.send(settings);
            }
            Err(e) => telemetry::error!("{e}; the previous settings stay in force"),
        }
    }
    let _ = stop.send(true);
    std::future::pending::<()>().await;
}

/// Counts tenants and routes without a key; empty for a configuration without tenants.
fn describe_tenants(configuration: &config::Configuration) -> String {
    if configuration.tenants.is_none() {
        return String::new();
    }
    let unkeyed = configuration.routes.iter().filter(|route| route.unkeyed).count();
    format!(", {} tenants, {unkeyed} routes without a key", configuration.tenants().len())
}

/// Describes the home regions of a configuration, one line each: the routes and tenants bound to the region and,
/// if settings are given, how many copies are kept in which zones.
fn describe_home_regions(configuration: &config::Configuration, settings: Option<&Settings>) -> String {
    let index = config::ConfigurationIndex::from(configuration.clone());
    let mut lines = String::new();
    for region in index.home_regions() {
        let routes = configuration.routes.iter().filter(|route| route.domains.iter().any(|d| d == region)).count();
        let tenants =
            configuration.tenants().iter().filter(|tenant| tenant.domains.iter().any(|d| d == region)).count();
        lines += &format!("home {region}: {routes} routes, {tenants} tenants");
        if let Some(settings) = settings {
            let zones: Vec<&str> =
                settings.zones.iter().filter(|(_, r)| *r == region).map(|(zone, _)| zone.as_str()).collect();
            let copies = settings.tolerance.machines + 1;
            lines += &match zones.is_empty() {
                true => "; no such region in the settings: its requests are refused".to_owned(),
                false => {
                    format!(
                        "; {copies} copies, all in {}: at least as many store machines are needed there",
                        zones.join(" ")
                    )
                }
            };
        }
        lines.push('\n');
    }
    lines
}

/// The longest message body that a process with these settings carries; empty for roles that carry none.
fn describe_body_limit(settings: &Settings) -> String {
    if !matches!(settings.role.as_str(), "front" | "store") {
        return String::new();
    }
    format!("carries message bodies of up to {} bytes\n", carried_body_bytes(settings))
}

fn carried_body_bytes(settings: &Settings) -> u64 {
    rpc::max_body_bytes(rpc::max_frame_bytes(settings.limits.memory_mb)) as u64
}

/// A warning if a configuration allows longer bodies than processes carry that have the memory of these settings, or,
/// without settings, the least memory.
fn describe_long_bodies(configuration: &config::Configuration, settings: Option<&Settings>) -> String {
    let allowed = configuration.limits.body_bytes;
    let carried = settings.map_or(rpc::max_body_bytes(rpc::max_frame_bytes(0)) as u64, carried_body_bytes);
    if allowed <= carried {
        return String::new();
    }
    let machines = settings.map_or("with little memory".to_owned(), |s| format!("with {} MB", s.limits.memory_mb));
    format!(
        "bodyBytes {allowed}: fronts and stores {machines} carry {carried} bytes and answer longer bodies with 413\n"
    )
}

fn check(settings: Option<String>, config: Option<String>) -> ExitCode {
    let mut is_valid = true;
    let mut loaded_settings = None;
    if settings.is_none() && config.is_none() {
        eprintln!("nothing to check: give --settings or --config");
        return ExitCode::from(2);
    }
    if let Some(path) = settings {
        match Settings::load(&path) {
            Ok(settings) => {
                println!("settings of {}: valid", settings.node);
                print!("{}", describe_body_limit(&settings));
                loaded_settings = Some(settings);
            }
            Err(e) => {
                eprintln!("{e}");
                is_valid = false;
            }
        }
    }
    if let Some(path) = config {
        match ctl::read_input(&path).and_then(|b| config::Configuration::read(&b)) {
            Ok(configuration) => {
                let (routes, services) = (configuration.routes.len(), configuration.services.len());
                print!("configuration {}: valid, {routes} routes, {services} services", configuration.revision);
                println!("{}", describe_tenants(&configuration));
                print!("{}", describe_home_regions(&configuration, loaded_settings.as_ref()));
                print!("{}", describe_long_bodies(&configuration, loaded_settings.as_ref()));
            }
            Err(e) => {
                eprintln!("configuration: {e}");
                is_valid = false;
            }
        }
    }
    if is_valid { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
