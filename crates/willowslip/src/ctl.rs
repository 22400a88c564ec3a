//! The operators' client.

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
    /// Print answers as the JSON that came.
    #[arg(long)]
    json: bool,
    /// Seconds to keep trying.
    #[arg(long, default_value_t = 5.0)]
    within: f64,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// The configuration.
    #[command(subcommand)]
    Config(Config),
    /// Moving a service's traffic to a new version.
    #[command(subcommand)]
    Rollout(RolloutCall),
    /// Emptying a store machine.
    #[command(subcommand)]
    Retire(RetireCall),
    /// Emptying a zone of what its processors are sent, and taking it back.
    #[command(subcommand)]
    Evacuate(EvacuateCall),
    /// State and bytes of a message.
    #[command(subcommand)]
    Message(MessageCall),
    /// Nodes, partitions, duties and counters as one control node knows them: a summary,
    /// or all of it with `--json`.
    Status {
        /// Also each node and partition with this word in a name, zone or role.
        #[arg(long)]
        only: Option<String>,
    },
    /// Seat, terms, digests and counters of one node, by its inner address.
    Node { inner: String },
}

#[derive(Subcommand)]
enum Config {
    /// Prints the configuration in force.
    Read,
    /// Puts a whole configuration in place.
    Replace {
        /// A file, or `-` for standard input.
        file: String,
        /// The revision it builds on; left out, the one in force.
        #[arg(long)]
        base: Option<u64>,
        /// Only check it.
        #[arg(long)]
        dry_run: bool,
    },
    /// Changes named items.
    Adjust {
        file: String,
        #[arg(long)]
        base: Option<u64>,
    },
}

#[derive(Subcommand)]
enum RolloutCall {
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
enum RetireCall {
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
enum EvacuateCall {
    /// Sends nothing more to the processors of a zone.
    Start { zone: String },
    /// Takes the zone back.
    Finish { zone: String },
    /// Prints the zones that are emptied or on their way back.
    Status,
}

#[derive(Subcommand)]
enum MessageCall {
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
    /// Whether the call is an order.
    fn changes(&self) -> bool {
        use What::*;
        matches!(
            &self.what,
            Config(self::Config::Replace { .. } | self::Config::Adjust { .. })
                | Rollout(RolloutCall::Start { .. })
                | Retire(RetireCall::Start { .. })
                | Evacuate(EvacuateCall::Start { .. } | EvacuateCall::Finish { .. })
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

/// Why an order brought no answer, and whether it may have taken effect.
struct Failure {
    why: String,
    may_have_run: bool,
}

async fn ask(ctl: &Ctl, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Result<Answer, Failure> {
    let pool = ConnectionPool::new(Duration::from_secs(1));
    let addrs: Vec<String> = ctl.at.split(',').map(|a| a.trim().to_owned()).filter(|a| !a.is_empty()).collect();
    let end = Instant::now() + Duration::from_secs_f64(ctl.within.clamp(0.1, 3600.0));
    let (mut turn, mut may, mut why) = (0, false, "no address given".to_owned());
    while Instant::now() < end && !addrs.is_empty() {
        let mut addr = addrs[turn % addrs.len()].clone();
        let mut path = path.to_owned();
        turn += 1;
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
                    may |= a.status != 503 && a.status != 429 && a.status != 408;
                    why = format!("{addr} answered {}", a.status);
                    break;
                }
                Ok(a) => return Ok(a),
                Err(m) => {
                    may |= m != SendError::NotSent;
                    why = format!("{addr}: {m:?}");
                    break;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(Failure { why, may_have_run: may && method != "GET" })
}

async fn base_of(ctl: &Ctl, given: Option<u64>) -> Result<String, Failure> {
    if let Some(b) = given {
        return Ok(b.to_string());
    }
    let a = ask(ctl, "GET", "/config/read", &[], &[]).await?;
    if a.status == 404 {
        return Ok("0".into());
    }
    let revision = serde_json::from_slice::<serde_json::Value>(&a.body).ok().and_then(|v| v["revision"].as_u64());
    revision
        .map(|r| r.to_string())
        .ok_or(Failure { why: "the configuration in force cannot be read".into(), may_have_run: false })
}

/// Sends a change of the configuration. The base is part of what it is: sent again
/// on another one, it is another order.
async fn put(ctl: &Ctl, path: &str, base: Option<u64>, bytes: &[u8]) -> Result<Answer, Failure> {
    let base = base_of(ctl, base).await?;
    ask(ctl, "POST", path, &[("X-Base-Revision", &base)], bytes).await.map_err(|mut f| {
        if f.may_have_run {
            f.why += &format!(" (sent with --base {base})");
        }
        f
    })
}

async fn order(ctl: &Ctl) -> Result<Answer, Failure> {
    let bad = |why: String| Failure { why, may_have_run: false };
    match &ctl.what {
        What::Config(Config::Read) => ask(ctl, "GET", "/config/read", &[], &[]).await,
        What::Config(Config::Replace { file, base, dry_run }) => {
            let bytes = read_input(file).map_err(bad)?;
            config::Configuration::read(&bytes).map_err(bad)?;
            if *dry_run {
                return Ok(Answer { status: 200, body: "{\"checked\":true}".into(), ..Answer::default() });
            }
            put(ctl, "/config/replace", *base, &bytes).await
        }
        What::Config(Config::Adjust { file, base }) => {
            let bytes = read_input(file).map_err(bad)?;
            put(ctl, "/config/adjust", *base, &bytes).await
        }
        What::Rollout(RolloutCall::Start { service, target, within_s }) => {
            let body = serde_json::json!({"plant": service, "target": target, "withinS": within_s}).to_string();
            ask(ctl, "POST", "/rollouts/start", &[], body.as_bytes()).await
        }
        What::Rollout(RolloutCall::Read { service }) => {
            ask(ctl, "GET", &format!("/rollouts/{service}/read"), &[], &[]).await
        }
        What::Retire(RetireCall::Start { node, within_s }) => {
            let body = serde_json::json!({ "withinS": within_s }).to_string();
            ask(ctl, "POST", &format!("/retire/{node}/start"), &[], body.as_bytes()).await
        }
        What::Retire(RetireCall::Read { node }) => ask(ctl, "GET", &format!("/retire/{node}/read"), &[], &[]).await,
        What::Evacuate(EvacuateCall::Start { zone }) => {
            ask(ctl, "POST", &format!("/evacuate/{zone}/start"), &[], &[]).await
        }
        What::Evacuate(EvacuateCall::Finish { zone }) => {
            ask(ctl, "POST", &format!("/evacuate/{zone}/finish"), &[], &[]).await
        }
        What::Evacuate(EvacuateCall::Status) => ask(ctl, "GET", "/evacuate/read", &[], &[]).await,
        What::Message(MessageCall::State { name, host }) => {
            ask(ctl, "GET", &format!("/message/{name}"), &[("Host", host)], &[]).await
        }
        What::Message(MessageCall::Body { name, host }) => {
            ask(ctl, "GET", &format!("/message-body/{name}"), &[("Host", host)], &[]).await
        }
        What::Status { .. } => ask(ctl, "GET", "/status", &[], &[]).await,
        What::Node { inner } => {
            let rpc_clients = rpc::RpcClients::new(Duration::from_secs(1));
            let status = rpc::Body::Status(rpc::messages::Status {});
            match rpc_clients.to(inner).call(status, Duration::from_secs_f64(ctl.within)).await {
                Ok(rpc::Body::StatusAck(s)) => Ok(Answer { status: 200, body: s.json.into(), ..Answer::default() }),
                _ => Err(bad(format!("{inner} does not answer"))),
            }
        }
    }
}

/// Prints nested JSON as indented `name: value` lines.
fn plain(v: &serde_json::Value, depth: usize) {
    let pad = "  ".repeat(depth);
    match v {
        serde_json::Value::Object(o) => {
            for (k, v) in o {
                if v.is_object() || v.as_array().is_some_and(|a| a.iter().any(|x| x.is_object())) {
                    println!("{pad}{k}:");
                    plain(v, depth + 1);
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

/// Exit codes: 0 done, 1 refused, 2 wrong use, 3 not done, 4 it may have taken effect.
pub fn run(ctl: Ctl) -> ExitCode {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        eprintln!("no runtime");
        return ExitCode::from(3);
    };
    match runtime.block_on(order(&ctl)) {
        Ok(a) => {
            let value = serde_json::from_slice::<serde_json::Value>(&a.body);
            let good = (200..300).contains(&a.status);
            if !good {
                let value = value.unwrap_or_default();
                let limit = value["limitBytes"].as_u64().map_or(String::new(), |l| format!(" (at most {l} bytes)"));
                let why = value["fault"].as_str().unwrap_or_default();
                // What was taken is acknowledged again: a refusal says that it was not,
                // but for an order that is under way.
                let effect = match a.status {
                    409 => "; nothing was changed by this call",
                    _ => "; it has not taken effect",
                };
                eprintln!("refused ({}): {why}{limit}{}", a.status, if ctl.changes() { effect } else { "" });
                return ExitCode::from(1);
            }
            if value.as_ref().is_ok_and(|v| v["again"] == true) {
                eprintln!("acknowledged again: it was taken before");
            }
            match value {
                Ok(v) if !ctl.json => match &ctl.what {
                    What::Status { only } => print!("{}", crate::summary::summary(&v, only.as_deref())),
                    _ => plain(&v, 0),
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
            let effect = match f.may_have_run {
                true => "it may have taken effect: send it again unchanged",
                false => "it has not taken effect",
            };
            eprintln!("failed: {}; {effect}", f.why);
            ExitCode::from(if f.may_have_run { 4 } else { 3 })
        }
    }
}
