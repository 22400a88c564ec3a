//! Command-line client for operators.

use clap::{Args, Subcommand};
use http1::{Answer, Call, ConnectionPool, SendError};
use std::io::Read;
use std::process::ExitCode;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct Ctl {
    /// Control addresses, separated by commas (front addresses for `message`).
    #[arg(long, env = "WILLOWSLIP_CONTROL")]
    at: String,
    /// Print the JSON of responses unchanged.
    #[arg(long)]
    json: bool,
    /// Seconds to keep retrying.
    #[arg(long, default_value_t = 5.0)]
    within: f64,
    #[command(subcommand)]
    command: CtlCommand,
}

#[derive(Subcommand)]
enum CtlCommand {
    /// Reading and changing the configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Rolling a service out to a new version.
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Retiring a store machine.
    #[command(subcommand)]
    Retire(RetireCommand),
    /// Evacuating a zone: nothing more is sent to its processors until the evacuation is finished.
    #[command(subcommand)]
    Evacuate(EvacuateCommand),
    /// State and body of a message.
    #[command(subcommand)]
    Message(MessageCommand),
    /// Nodes, partitions, duties and counters as known to one control node: a summary, or everything with `--json`.
    Status {
        /// Also list each node and partition with this word in a name, zone or role.
        #[arg(long)]
        only: Option<String>,
    },
    /// Seat, terms, digests and counters of one node, given its inner address.
    Node { inner: String },
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Prints the current configuration.
    Read,
    /// Replaces the whole configuration.
    Replace {
        /// A file, or `-` for standard input.
        file: String,
        /// The revision that the change is based on; defaults to the current one.
        #[arg(long)]
        base: Option<u64>,
        /// Only validate the file.
        #[arg(long)]
        dry_run: bool,
    },
    /// Updates or removes single items.
    Adjust {
        file: String,
        #[arg(long)]
        base: Option<u64>,
    },
}

#[derive(Subcommand)]
enum RolloutCommand {
    Start {
        service: String,
        target: String,
        #[arg(long, default_value_t = 60.0)]
        within_s: f64,
    },
    Read {
        service: String,
    },
}

#[derive(Subcommand)]
enum RetireCommand {
    Start {
        node: String,
        #[arg(long, default_value_t = 60.0)]
        within_s: f64,
    },
    Read {
        node: String,
    },
}

#[derive(Subcommand)]
enum EvacuateCommand {
    /// Stops sending to the processors of a zone.
    Start { zone: String },
    /// Ends the evacuation and returns the zone to service.
    Finish { zone: String },
    /// Lists the zones that are evacuated or returning.
    Status,
}

#[derive(Subcommand)]
enum MessageCommand {
    State {
        name: String,
        #[arg(long)]
        host: String,
    },
    Body {
        name: String,
        #[arg(long)]
        host: String,
    },
}

impl Ctl {
    /// Whether the command changes the state of the cluster.
    fn is_mutation(&self) -> bool {
        use CtlCommand::*;
        matches!(
            &self.command,
            Config(ConfigCommand::Replace { .. } | ConfigCommand::Adjust { .. })
                | Rollout(RolloutCommand::Start { .. })
                | Retire(RetireCommand::Start { .. })
                | Evacuate(EvacuateCommand::Start { .. } | EvacuateCommand::Finish { .. })
        )
    }
}

pub fn read_input(path: &str) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    let read = match path {
        "-" => std::io::stdin().read_to_end(&mut bytes).map(|_| ()),
        _ => std::fs::read(path).map(|b| bytes = b),
    };
    read.map_err(|e| format!("{path}: {e}"))?;
    Ok(bytes)
}

/// Why a request got no conclusive response, and whether it may have taken effect.
struct Failure {
    reason: String,
    may_have_taken_effect: bool,
}

/// Sends a request to the addresses in turn, following redirects, until one responds conclusively or `--within` has
/// passed.
async fn send_request(
    ctl: &Ctl,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Answer, Failure> {
    let pool = ConnectionPool::new(Duration::from_secs(1));
    let addrs: Vec<String> = ctl.at.split(',').map(|a| a.trim().to_owned()).filter(|a| !a.is_empty()).collect();
    let deadline = Instant::now() + Duration::from_secs_f64(ctl.within.clamp(0.1, 3600.0));
    let (mut tries, mut may_have_taken_effect, mut reason) = (0, false, "no address given".to_owned());
    while Instant::now() < deadline && !addrs.is_empty() {
        let mut addr = addrs[tries % addrs.len()].clone();
        let mut path = path.to_owned();
        tries += 1;
        for _ in 0..3 {
            let host = headers.iter().find(|h| h.0 == "Host").map_or(addr.as_str(), |h| h.1).to_owned();
            let rest: Vec<(&str, &str)> = headers.iter().filter(|h| h.0 != "Host").copied().collect();
            let call =
                Call { method, path: &path, host: &host, headers: &rest, body, id: "", newest: None, connect: None };
            match pool.call(&addr, call, 4, Duration::from_secs(2)).await {
                Ok(a) if a.status == 307 => {
                    let to = a.header("location").unwrap_or("").trim_start_matches("http://").to_owned();
                    let Some(at) = to.find('/') else { break };
                    addr = to[..at].to_owned();
                    path = to[at..].to_owned();
                }
                Ok(a) if a.status >= 500 || a.status == 429 || a.status == 408 => {
                    may_have_taken_effect |= a.status != 503 && a.status != 429 && a.status != 408;
                    reason = format!("{addr} answered {}", a.status);
                    break;
                }
                Ok(a) => return Ok(a),
                Err(e) => {
                    may_have_taken_effect |= e != SendError::NotSent;
                    reason = format!("{addr}: {e:?}");
                    break;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(Failure { reason, may_have_taken_effect: may_have_taken_effect && method != "GET" })
}

/// The revision that a change is based on: the given one, or the current one; 0 without a configuration.
async fn base_revision(ctl: &Ctl, given: Option<u64>) -> Result<String, Failure> {
    if let Some(b) = given {
        return Ok(b.to_string());
    }
    let a = send_request(ctl, "GET", "/config/read", &[], &[]).await?;
    if a.status == 404 {
        return Ok("0".into());
    }
    let revision = serde_json::from_slice::<serde_json::Value>(&a.body).ok().and_then(|v| v["revision"].as_u64());
    revision
        .map(|r| r.to_string())
        .ok_or(Failure { reason: "the current configuration cannot be read".into(), may_have_taken_effect: false })
}

/// Sends a change of the configuration. The base revision is part of a change's identity: a repeat with another base
/// is a different change, so a failure names the base that was sent.
async fn send_config_change(ctl: &Ctl, path: &str, base: Option<u64>, bytes: &[u8]) -> Result<Answer, Failure> {
    let base = base_revision(ctl, base).await?;
    send_request(ctl, "POST", path, &[("X-Base-Revision", &base)], bytes).await.map_err(|mut f| {
        if f.may_have_taken_effect {
            f.reason += &format!(" (sent with --base {base})");
        }
        f
    })
}

async fn execute(ctl: &Ctl) -> Result<Answer, Failure> {
    let not_sent = |reason: String| Failure { reason, may_have_taken_effect: false };
    match &ctl.command {
        CtlCommand::Config(ConfigCommand::Read) => send_request(ctl, "GET", "/config/read", &[], &[]).await,
        CtlCommand::Config(ConfigCommand::Replace { file, base, dry_run }) => {
            let bytes = read_input(file).map_err(not_sent)?;
            config::Configuration::read(&bytes).map_err(not_sent)?;
            if *dry_run {
                return Ok(Answer { status: 200, body: "{\"checked\":true}".into(), ..Answer::default() });
            }
            send_config_change(ctl, "/config/replace", *base, &bytes).await
        }
        CtlCommand::Config(ConfigCommand::Adjust { file, base }) => {
            let bytes = read_input(file).map_err(not_sent)?;
            send_config_change(ctl, "/config/adjust", *base, &bytes).await
        }
        CtlCommand::Rollout(RolloutCommand::Start { service, target, within_s }) => {
            let body = serde_json::json!({"plant": service, "target": target, "withinS": within_s}).to_string();
            send_request(ctl, "POST", "/rollouts/start", &[], body.as_bytes()).await
        }
        CtlCommand::Rollout(RolloutCommand::Read { service }) => {
            send_request(ctl, "GET", &format!("/rollouts/{service}/read"), &[], &[]).await
        }
        CtlCommand::Retire(RetireCommand::Start { node, within_s }) => {
            let body = serde_json::json!({ "withinS": within_s }).to_string();
            send_request(ctl, "POST", &format!("/retire/{node}/start"), &[], body.as_bytes()).await
        }
        CtlCommand::Retire(RetireCommand::Read { node }) => {
            send_request(ctl, "GET", &format!("/retire/{node}/read"), &[], &[]).await
        }
        CtlCommand::Evacuate(EvacuateCommand::Start { zone }) => {
            send_request(ctl, "POST", &format!("/evacuate/{zone}/start"), &[], &[]).await
        }
        CtlCommand::Evacuate(EvacuateCommand::Finish { zone }) => {
            send_request(ctl, "POST", &format!("/evacuate/{zone}/finish"), &[], &[]).await
        }
        CtlCommand::Evacuate(EvacuateCommand::Status) => send_request(ctl, "GET", "/evacuate/read", &[], &[]).await,
        CtlCommand::Message(MessageCommand::State { name, host }) => {
            send_request(ctl, "GET", &format!("/message/{name}"), &[("Host", host)], &[]).await
        }
        CtlCommand::Message(MessageCommand::Body { name, host }) => {
            send_request(ctl, "GET", &format!("/message-body/{name}"), &[("Host", host)], &[]).await
        }
        CtlCommand::Status { .. } => send_request(ctl, "GET", "/status", &[], &[]).await,
        CtlCommand::Node { inner } => {
            let rpc_clients = rpc::RpcClients::new(Duration::from_secs(1));
            let status = rpc::Body::Status(rpc::messages::Status {});
            match rpc_clients.to(inner).call(status, Duration::from_secs_f64(ctl.within)).await {
                Ok(rpc::Body::StatusAck(s)) => Ok(Answer { status: 200, body: s.json.into(), ..Answer::default() }),
                _ => Err(not_sent(format!("{inner} does not answer"))),
            }
        }
    }
}

/// Prints nested JSON as indented `name: value` lines.
fn print_indented(v: &serde_json::Value, depth: usize) {
    let pad = "  ".repeat(depth);
    match v {
        serde_json::Value::Object(o) => {
            for (k, v) in o {
                if v.is_object() || v.as_array().is_some_and(|a| a.iter().any(|x| x.is_object())) {
                    println!("{pad}{k}:");
                    print_indented(v, depth + 1);
                } else {
                    println!("{pad}{k}: {}", v.as_str().map_or_else(|| v.to_string(), str::to_owned));
                }
            }
        }
        serde_json::Value::Array(a) => {
            for v in a {
                match v.as_object() {
                    Some(o) => {
                        let parts: Vec<String> = o
                            .iter()
                            .map(|(k, v)| format!("{k}={}", v.as_str().map_or_else(|| v.to_string(), str::to_owned)))
                            .collect();
                        println!("{pad}{}", parts.join(" "));
                    }
                    None => println!("{pad}{v}"),
                }
            }
        }
        _ => println!("{pad}{v}"),
    }
}

/// Exit codes: 0 success, 1 refused, 2 usage error, 3 failed without effect, 4 failed but may have taken effect.
pub fn run(ctl: Ctl) -> ExitCode {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        eprintln!("cannot start the async runtime");
        return ExitCode::from(3);
    };
    match runtime.block_on(execute(&ctl)) {
        Ok(a) => {
            let value = serde_json::from_slice::<serde_json::Value>(&a.body);
            if !(200..300).contains(&a.status) {
                let value = value.unwrap_or_default();
                let limit = value["limitBytes"].as_u64().map_or(String::new(), |l| format!(" (at most {l} bytes)"));
                let reason = value["fault"].as_str().unwrap_or_default();
                // A repeat of an accepted order is acknowledged again, so a refusal means that the order has not taken
                // effect. A 409 is the exception: such an order can be in progress.
                let effect = match a.status {
                    409 => "; nothing was changed by this call",
                    _ => "; it has not taken effect",
                };
                eprintln!("refused ({}): {reason}{limit}{}", a.status, if ctl.is_mutation() { effect } else { "" });
                return ExitCode::from(1);
            }
            if value.as_ref().is_ok_and(|v| v["again"] == true) {
                eprintln!("acknowledged again: it had already been accepted");
            }
            match value {
                Ok(v) if !ctl.json => match &ctl.command {
                    CtlCommand::Status { only } => print!("{}", crate::summary::summary(&v, only.as_deref())),
                    _ => print_indented(&v, 0),
                },
                Ok(v) => println!("{v}"),
                Err(_) => {
                    use std::io::Write;
                    let _ = std::io::stdout().write_all(&a.body);
                }
            }
            ExitCode::SUCCESS
        }
        Err(f) => {
            let effect = match f.may_have_taken_effect {
                true => "it may have taken effect: send it again unchanged",
                false => "it has not taken effect",
            };
            eprintln!("failed: {}; {effect}", f.reason);
            ExitCode::from(if f.may_have_taken_effect { 4 } else { 3 })
        }
    }
}
