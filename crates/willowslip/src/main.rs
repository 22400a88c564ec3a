//! willowslip: takes in, keeps and delivers messages. A subcommand a role.

mod ctl;
mod summary;

use clap::{Parser, Subcommand};
use config::Settings;
use std::process::ExitCode;
use tokio::sync::watch;

/// The version, with the commit that the program was built from.
const VERSION: &str = env!("WILLOWSLIP_VERSION");

#[derive(Parser)]
#[command(name = "willowslip", version = VERSION, about = "Takes in, keeps and delivers messages.")]
struct Cli {
    /// How much is logged: error, change or debug (over what the settings say).
    #[arg(long, global = true)]
    log: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Front machines: takes messages from clients, carries out deliveries.
    Front,
    /// Front machines of a platform for functions: passes requests on, keeps slots.
    Functions,
    /// Front machines of an API gateway: passes requests on to processors of the platform.
    Gateway,
    /// Front machines: keeps the session with the control plane, feeds the front.
    Agent,
    /// Store machines: owns and replicates partitions of messages.
    Store,
    /// Core machines: the majority log, sessions, duties, the operator's interface.
    Control,
    /// The operators' client.
    Ctl(ctl::Ctl),
    /// Checks a settings file or a configuration without using it.
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
        eprintln!("--log: wants error, change or debug, not {level:?}");
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
    let ended = runtime.block_on(async {
        let (stop, stopped) = watch::channel(false);
        let (changed, updates) = watch::channel(settings.clone());
        tokio::spawn(signals(stop, changed, path, cli.log));
        match cli.command {
            Command::Front => front::run(settings, stopped).await,
            Command::Functions => functions::run(settings, stopped).await,
            Command::Gateway => gateway::run(settings, stopped).await,
            Command::Agent => agent::run(settings, stopped, updates).await,
            Command::Store => store::run(settings, stopped, updates).await,
            _ => control::run(settings, stopped, updates).await,
        }
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            telemetry::error!("{e}");
            ExitCode::from(2)
        }
    }
}

/// SIGTERM and SIGINT stop the program in order; SIGHUP, and a file that changed
/// without one, have the settings read again.
async fn signals(stop: watch::Sender<bool>, changed: watch::Sender<Settings>, path: String, log: Option<String>) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int), Ok(mut hup)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()), signal(SignalKind::hangup()))
    else {
        return;
    };
    let mut seen = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => telemetry::count("hangups"),
            _ = tokio::time::sleep(std::time::Duration::from_secs(5)) => {}
        }
        let Ok(text) = std::fs::read_to_string(&path) else { continue };
        if text == seen {
            continue;
        }
        seen = text;
        match Settings::parse(&seen) {
            Ok(c) => {
                telemetry::change!("settings changed");
                if log.is_none() && !c.log_level.is_empty() {
                    telemetry::set_level(&c.log_level);
                }
                let _ = changed.send(c);
            }
            Err(e) => telemetry::error!("{e}; the old values stay in force"),
        }
    }
    let _ = stop.send(true);
    std::future::pending::<()>().await;
}

/// What a configuration says of tenants; nothing where it has none.
fn tenants_in(configuration: &config::Configuration) -> String {
    if configuration.tenants.is_none() {
        return String::new();
    }
    let unkeyed = configuration.routes.iter().filter(|route| route.unkeyed).count();
    format!(", {} tenants, {unkeyed} routes without a key", configuration.tenants().len())
}

/// What the homes of a configuration mean for copies: a line for each region that anything is
/// bound to, by the settings if there are any.
fn homes_in(configuration: &config::Configuration, settings: Option<&Settings>) -> String {
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
                    format!("; {copies} copies, all in {}: as many store machines are needed there", zones.join(" "))
                }
            };
        }
        lines.push('\n');
    }
    lines
}

fn check(settings: Option<String>, config: Option<String>) -> ExitCode {
    let mut good = true;
    let mut read_settings = None;
    if settings.is_none() && config.is_none() {
        eprintln!("nothing to check: give --settings or --config");
        return ExitCode::from(2);
    }
    if let Some(path) = settings {
        match Settings::load(&path) {
            Ok(c) => {
                println!("settings of {}: good", c.node);
                read_settings = Some(c);
            }
            Err(e) => {
                eprintln!("{e}");
                good = false;
            }
        }
    }
    if let Some(path) = config {
        match ctl::read_input(&path).and_then(|b| config::Configuration::read(&b)) {
            Ok(t) => {
                print!("configuration {}: good, {} routes, {} services", t.revision, t.routes.len(), t.services.len());
                println!("{}", tenants_in(&t));
                print!("{}", homes_in(&t, read_settings.as_ref()));
            }
            Err(e) => {
                eprintln!("configuration: {e}");
                good = false;
            }
        }
    }
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
