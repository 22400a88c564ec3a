use crate::deliver::Bobbin;
use apprentice::{Known, loopback};
use dovetail::msg::*;
use dovetail::{Bench, Body, Verdict};
use gauge::{Caliper, Channel, Pattern, Role};
use spindle::{Bounds, Closing, Reply, Request};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

pub struct Hatch {
    pub caliper: Caliper,
    pub bench: Arc<Bench>,
    pub known: watch::Sender<Known>,
    pub closing: watch::Sender<Closing>,
}

fn fault(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
}

fn hash(text: &str) -> u64 {
    let h = text.bytes().fold(0xcbf29ce484222325u64, |h, b| (h ^ b as u64).wrapping_mul(0x100000001b3));
    (h ^ (h >> 32)).wrapping_mul(0x9e3779b97f4a7c15) >> 16
}

/// The partition that a message belongs to. All with one order key share one,
/// whatever their service; all for one endpoint share one, so that one owner
/// meters it; others go to an owner near the client.
pub fn partition_of(known: &Known, t: &Pattern, c: &Channel, order_key: &str, id: &str, zone: &str) -> Option<u32> {
    let all = &known.charter.partitions;
    if all.is_empty() {
        return None;
    }
    let pick = |n: u64| all[(n % all.len() as u64) as usize].id;
    if c.sequenced && !order_key.is_empty() {
        return Some(pick(hash(order_key)));
    }
    if t.plant(&c.plant).is_some_and(|p| p.endpoint.is_some() || p.flow_per_s > 0.0) {
        return Some(pick(hash(&c.plant)));
    }
    let here: Vec<u32> = all
        .iter()
        .filter(|p| known.node(&p.owner, "lathe").is_some_and(|n| n.zone == zone && !n.leaving))
        .map(|p| p.id)
        .collect();
    if here.is_empty() { Some(pick(hash(id))) } else { Some(here[(hash(id) % here.len() as u64) as usize]) }
}

fn owner_addr(k: &Known, partition: u32) -> Option<(u64, String, String)> {
    let p = k.charter.partitions.iter().find(|p| p.id == partition)?;
    let n = k.node(&p.owner, "lathe")?;
    Some((p.term, n.name.clone(), n.inner.clone()))
}

impl Hatch {
    pub fn new(caliper: Caliper) -> Arc<Hatch> {
        let silence = Duration::from_millis((caliper.constraints.quiet_ms / 4.0) as u64);
        Arc::new(Hatch {
            bench: Bench::new(silence),
            known: watch::channel(Known::default()).0,
            closing: watch::channel(Closing::Open).0,
            caliper,
        })
    }

    fn ratio(&self, part: f64) -> Duration {
        Duration::from_micros((self.caliper.constraints.quiet_ms * 1000.0 / part) as u64)
    }

    pub fn owner(&self, partition: u32) -> Option<String> {
        owner_addr(&self.known.borrow(), partition).map(|o| o.2)
    }

    fn bounds(&self) -> Bounds {
        let l = &self.known.borrow().template.limits;
        Bounds::told(l.header_bytes, l.body_bytes, l.header_ms, l.idle_ms)
    }

    pub fn is_ready(&self) -> bool {
        let k = self.known.borrow();
        *self.closing.borrow() == Closing::Open
            && k.template.revision > 0
            && !k.charter.partitions.is_empty()
            && k.roster.nodes.iter().any(|n| n.role == "lathe")
    }

    async fn answer(self: Arc<Self>, r: Request) -> Reply {
        let path = r.path.split('?').next().unwrap_or("");
        if r.method == "GET" {
            if let Some(name) = path.strip_prefix("/message/") {
                return self.look_up(name, r.header("host").unwrap_or(""), false).await;
            }
            if let Some(name) = path.strip_prefix("/message-body/") {
                return self.look_up(name, r.header("host").unwrap_or(""), true).await;
            }
        }
        self.take(r).await
    }

    /// Takes in one message; the answer says no more than is known.
    pub async fn take(&self, r: Request) -> Reply {
        let begun = Instant::now();
        let known = self.known.borrow().clone();
        if known.template.revision == 0 {
            return fault(503, "no configuration yet").with("Retry-After", "1");
        }
        let host = r.header("host").unwrap_or("");
        let path = r.path.split('?').next().unwrap_or("");
        let Some(c) = known.template.route(host, path).filter(|c| c.mode == "deferred") else {
            return fault(404, "no such route");
        };
        let Some(id) = r.header("x-attempt-id").filter(|v| !v.is_empty() && v.len() <= 128) else {
            return fault(400, "X-Attempt-Id is missing");
        };
        let number = |name: &str| r.header(name).map(|v| v.parse::<f64>().ok().filter(|n| *n >= 0.0 && *n < 1e12));
        let delay = match number("x-delay-ms") {
            Some(None) => return fault(400, "X-Delay-Ms is not a time"),
            Some(Some(d)) => d as u64,
            None => 0,
        };
        let setpoint = if c.setpoint_ms > 0.0 { c.setpoint_ms } else { self.caliper.constraints.quiet_ms / 20.0 };
        // What is given up on is told at once: after five times the aim, or when
        // four fifths of the client's own time are over.
        let given = number("x-deadline-ms").flatten().unwrap_or(f64::MAX) * 0.8;
        let budget = Duration::from_millis((setpoint * 5.0).min(given) as u64);
        // What may have been written is not given up on as early: a 504 ends it for
        // the client, and the next owner knows, or takes it, once there is one.
        let longest = Duration::from_millis((setpoint * 15.0).min(given) as u64);
        let order_key = r.header("x-order-key").unwrap_or("");
        let item = Item {
            id: id.to_owned(),
            channel: c.name.clone(),
            method: r.method.clone(),
            host: host.to_owned(),
            path: r.path.clone(),
            order_key: if c.sequenced { order_key.to_owned() } else { String::new() },
            notify_url: if c.notify { r.header("x-notify-url").unwrap_or("").to_owned() } else { String::new() },
            content_type: r.header("content-type").unwrap_or("").to_owned(),
            body: r.body.clone(),
        };
        let zone = &self.caliper.zone;
        let Some(mut partition) = partition_of(&known, &known.template, c, order_key, id, zone) else {
            return fault(503, "no owners yet").with("Retry-After", "1");
        };
        let fixed = c.sequenced && !order_key.is_empty()
            || known.template.plant(&c.plant).is_some_and(|p| p.endpoint.is_some() || p.flow_per_s > 0.0);
        let (mut unclear, mut hint) = (false, None::<String>);
        let mut rx = self.known.subscribe();
        loop {
            let left = if unclear { longest } else { budget }.saturating_sub(begun.elapsed());
            if left.is_zero() {
                break;
            }
            let now = rx.borrow_and_update().clone();
            if !unclear && !fixed && hint.is_none() {
                // Nothing was written: another owner near by may do as well.
                partition = partition_of(&now, &known.template, c, order_key, id, zone).unwrap_or(partition);
            }
            let place = owner_addr(&now, partition);
            let addr = hint
                .take()
                .and_then(|h| now.node(&h, "lathe").map(|n| n.inner.clone()))
                .or_else(|| place.as_ref().map(|p| p.2.clone()));
            let mut outcome = AcceptOutcome::Elsewhere;
            if let Some(addr) = addr {
                let spent = begun.elapsed().as_millis() as u64;
                let accept = Accept {
                    partition,
                    item: item.clone(),
                    revision: known.template.revision,
                    delay_ms: delay.saturating_sub(spent),
                };
                let end = self.bench.to(&addr);
                let moved = rx.wait_for(|k| owner_addr(k, partition) != place);
                // Nothing is sent to where nothing is answered: it would be unclear
                // whether it was taken.
                let dark = end.stuck(self.ratio(16.0));
                let asked = tokio::select! {
                    a = end.call(Body::Accept(accept), left), if !dark => a,
                    _ = moved, if !dark => Err(Verdict::MayHaveRun),
                    _ = tokio::time::sleep(self.ratio(100.0)), if dark => Err(Verdict::NotRun),
                };
                match asked {
                    Ok(Body::Accepted(a)) => {
                        outcome = AcceptOutcome::try_from(a.outcome).unwrap_or(AcceptOutcome::Unclear);
                        match outcome {
                            AcceptOutcome::Taken => {
                                return Reply::new(202).with("X-Message-Name", format!("{partition}-{}", a.position));
                            }
                            AcceptOutcome::Full if !unclear => {
                                tally::count("refused_full");
                                return fault(503, "no room").with("Retry-After", "1");
                            }
                            AcceptOutcome::NoRoute if !unclear => return fault(404, "no such route"),
                            AcceptOutcome::Elsewhere if !a.owner.is_empty() => hint = Some(a.owner),
                            _ => {}
                        }
                    }
                    Err(Verdict::NotRun) => {}
                    _ => outcome = AcceptOutcome::Unclear,
                }
            }
            if outcome == AcceptOutcome::Unclear {
                unclear = true;
            }
            tally::count("accepts_again");
            let pause = self.ratio(400.0).min(left);
            tokio::time::sleep(pause).await;
        }
        if unclear {
            tally::count("answers_504");
            fault(504, "it may have been taken")
        } else {
            tally::count("answers_503");
            fault(503, "no owner can take it now").with("Retry-After", "1")
        }
    }

    async fn look_up(&self, name: &str, host: &str, body: bool) -> Reply {
        let begun = Instant::now();
        let parsed = name.split_once('-').and_then(|(p, n)| Some((p.parse::<u32>().ok()?, n.parse::<u64>().ok()?)));
        // Askers wait about as long as half the call-back bound; answer inside that.
        let limit = Duration::from_millis((self.caliper.constraints.notify_s * 350.0) as u64);
        let mut wanted: Vec<u32> = match parsed {
            Some((p, _)) => vec![p],
            None => self.known.borrow().charter.partitions.iter().map(|p| p.id).collect(),
        };
        while begun.elapsed() < limit {
            let mut open = Vec::new();
            for p in wanted {
                let lookup = Lookup {
                    partition: p,
                    position: parsed.map_or(0, |n| n.1),
                    body,
                    id: if parsed.is_some() { String::new() } else { name.to_owned() },
                };
                let addr = self.owner(p);
                let found = match addr {
                    Some(a) => self.bench.to(&a).call(Body::Lookup(lookup), limit / 4).await,
                    None => Err(Verdict::NotRun),
                };
                match found {
                    Ok(Body::Found(f)) if f.owner && f.known => {
                        let same = |h: &str| h.split(':').next().unwrap_or("").to_ascii_lowercase();
                        if same(&f.host) != same(host) {
                            return fault(404, "no such message");
                        }
                        if body {
                            return if f.state == "settled" {
                                fault(404, "the message is settled")
                            } else {
                                Reply { body: f.body, content_type: "application/octet-stream", ..Reply::new(200) }
                            };
                        }
                        let text = if f.seal.is_empty() {
                            serde_json::json!({ "state": f.state })
                        } else {
                            serde_json::json!({ "state": f.state, "seal": f.seal })
                        };
                        return Reply::json(200, text.to_string());
                    }
                    Ok(Body::Found(f)) if f.owner => {}
                    _ => open.push(p),
                }
            }
            if open.is_empty() {
                return fault(404, "no such message");
            }
            wanted = open;
            tokio::time::sleep(self.ratio(200.0)).await;
        }
        fault(503, "its owner is not known now").with("Retry-After", "1")
    }

    /// Takes the news from the apprentice beside it.
    async fn follow(self: Arc<Self>) {
        let wait = self.ratio(8.0);
        let addr = loopback(&self.caliper);
        let life = dovetail::new_life();
        let mut told = false;
        loop {
            let leaving = *self.closing.borrow() != Closing::Open;
            let node = Node {
                name: self.caliper.node.clone(),
                role: "hatch".into(),
                inner: self.caliper.inner_addr(Role::Hatch),
                life,
                leaving,
                ..Node::default()
            };
            let have = self.known.borrow().have();
            let wait_ms = if leaving && !told { 1 } else { wait.as_millis() as u32 };
            told = leaving;
            let w = Watch { node: Some(node), have, wait_ms, ..Watch::default() };
            let mut closing = self.closing.subscribe();
            let end = self.bench.to(&addr);
            let asked = tokio::select! {
                a = end.call(Body::Watch(w), wait * 2) => a,
                _ = async { let _ = closing.wait_for(|c| *c != Closing::Open).await; }, if !leaving => continue,
            };
            match asked {
                Ok(Body::News(n)) => {
                    self.known.send_if_modified(|k| k.take(&n));
                }
                _ => tokio::time::sleep(wait / 16).await,
            }
        }
    }
}

/// Runs a hatch until it is told to stop.
pub async fn run(caliper: Caliper, mut stop: watch::Receiver<bool>) -> Result<(), String> {
    let silence = Duration::from_millis((caliper.constraints.quiet_ms / 4.0) as u64);
    let hatch = Hatch::new(caliper.clone());
    let bobbin = Bobbin::new(hatch.clone());
    let bind = async |addr: String| tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"));
    let inner = bind(caliper.inner_addr(Role::Hatch)).await?;
    let b = bobbin.clone();
    tokio::spawn(dovetail::serve(inner, silence, move |body, peg| b.handle(body, peg)));
    tokio::spawn(hatch.clone().follow());
    let h = hatch.clone();
    let ready = bind(caliper.listen.ready.clone()).await?;
    let open = watch::channel(Closing::Open);
    tokio::spawn(spindle::listen(ready, Bounds::default, open.1, move |_| {
        let ok = h.is_ready();
        async move { if ok { Reply::new(200) } else { Reply::new(503) } }
    }));
    let front = bind(caliper.listen.front.clone()).await?;
    let (h, hb) = (hatch.clone(), hatch.clone());
    tokio::spawn(spindle::listen(front, move || hb.bounds(), hatch.closing.subscribe(), move |r| h.clone().answer(r)));
    let (b, beat) = (bobbin.clone(), silence / 10);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(beat).await;
            b.beat();
        }
    });
    let b = bobbin.clone();
    let name = caliper.node.clone();
    tokio::spawn(async move {
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(silence).await;
            rounds += 1;
            b.sweep();
            if rounds.is_multiple_of(30) {
                tally::report(&name, &dovetail::sent());
            }
        }
    });
    let _ = stop.wait_for(|s| *s).await;
    let begun = Instant::now();
    tally::change!("draining");
    let grace = Duration::from_millis((caliper.constraints.grace_s * 1000.0) as u64);
    let _ = hatch.closing.send(Closing::Draining);
    // The platform needs two misses and a little to send nobody here any more.
    tokio::time::sleep(grace * 2 / 5).await;
    let _ = hatch.closing.send(Closing::Shut);
    while begun.elapsed() < grace * 4 / 5 {
        tokio::time::sleep(silence / 10).await;
        if bobbin.idle() && spindle::unanswered() == 0 && begun.elapsed() > grace / 2 {
            break;
        }
    }
    tally::report(&caliper.node, &dovetail::sent());
    Ok(())
}
