//! The shell: takes clients' requests, gets a slot for each, passes it on, and
//! gives the answer back unchanged.

use crate::creel::*;
use crate::ration::Ration;
use apprentice::{Known, loopback};
use dovetail::msg::*;
use dovetail::{Again, Bench, Body, Class, Gap, Peg, Verdict};
use gauge::{Caliper, Channel, Role};
use spindle::{Answer, Bounds, Call, Chuck, Closing, Miss, Reply, Request};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Where an ask for a slot is answered to.
enum Waiter {
    Far(Peg),
    Near(oneshot::Sender<SlotGrant>),
}

impl Waiter {
    fn send(self, g: SlotGrant) {
        match self {
            Waiter::Far(p) => p.send(Body::SlotGrant(g)),
            Waiter::Near(tx) => {
                let _ = tx.send(g);
            }
        }
    }
}

/// A front that does not answer: until when it is passed over, and in which life.
struct Dark {
    until: Instant,
    life: u64,
}

struct Inside {
    creel: Creel,
    waiters: HashMap<Hand, Waiter>,
    /// Fronts that do not answer, and until when they are left out.
    dark: HashMap<String, Dark>,
    /// Those of them that were known when keepers were worked out last.
    passed_over: Vec<String>,
    /// How long runs take, by function, about.
    took: HashMap<String, f64>,
    /// What this front holds: by ticket, of which function, and until when.
    holds: HashMap<u64, (SlotHeld, Instant)>,
    ration: Ration,
}

pub struct Shuttle {
    caliper: Caliper,
    bench: Arc<Bench>,
    chuck: Arc<Chuck>,
    known: watch::Sender<Known>,
    closing: watch::Sender<Closing>,
    inside: Mutex<Inside>,
    /// Fronts by which keepers are chosen, as of the last roster.
    fronts: Mutex<Arc<Vec<dovetail::Front>>>,
    /// The processors of what is kept here, as the leader told them last.
    units: Mutex<Vec<Unit>>,
    start: Instant,
    tickets: AtomicU64,
    life: u64,
}

fn fault(status: u16, why: &str) -> Reply {
    Reply::json(status, serde_json::json!({ "fault": why }).to_string())
}

fn busy(retry_ms: u64) -> Reply {
    let secs = (retry_ms as f64 / 1000.0).clamp(0.02, 5.0);
    fault(503, "no processor can take it now").with("Retry-After", format!("{secs:.2}"))
}

/// Whether a header concerns one connection only, or is written anew for the next.
pub fn hop_by_hop(name: &str, connection: &str) -> bool {
    const OWN: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    ];
    OWN.iter().any(|o| name.eq_ignore_ascii_case(o))
        || connection.split(',').any(|c| c.trim().eq_ignore_ascii_case(name))
}

/// A client's request on its way.
struct Passing<'a> {
    request: &'a Request,
    channel: &'a Channel,
    plant: &'a str,
    id: &'a str,
    connection: &'a str,
    end: Instant,
    safe: bool,
    /// Connections to one processor.
    limit: usize,
}

/// What is to be done with what a processor said.
enum Heard {
    /// Its answer, whole: the client's.
    Whole(Answer),
    /// None; and what its keeper is told of the slot.
    Missed(Gap, SlotEnd),
}

impl Shuttle {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000_000
    }

    fn ratio(&self, part: f64) -> Duration {
        Duration::from_micros((self.caliper.constraints.quiet_ms * 1000.0 / part) as u64)
    }

    fn is_ready(&self) -> bool {
        let k = self.known.borrow();
        *self.closing.borrow() == Closing::Open && k.template.revision > 0 && !self.fronts.lock().unwrap().is_empty()
    }

    fn bounds(&self) -> Bounds {
        let l = &self.known.borrow().template.limits;
        Bounds::told(l.header_bytes, l.body_bytes, l.header_ms, l.idle_ms)
    }

    /// The front that keeps a function, as far as this one can tell: its name and address.
    fn keeper(&self, plant: &str) -> Option<(String, String)> {
        let dark = self.dark();
        self.keeper_but(plant, &dark)
    }

    fn keeper_but(&self, plant: &str, dark: &[String]) -> Option<(String, String)> {
        let fronts = self.fronts.lock().unwrap().clone();
        let but = |n: &str| dark.iter().any(|d| d == n);
        dovetail::keeper_but(&fronts, plant, but).map(|f| (f.1.clone(), f.2.clone()))
    }

    /// The fronts that did not answer of late.
    fn dark(&self) -> Vec<String> {
        let now = Instant::now();
        let mut i = self.inside.lock().unwrap();
        if i.dark.is_empty() {
            return Vec::new();
        }
        i.dark.retain(|_, d| d.until > now);
        let mut all: Vec<String> = i.dark.keys().cloned().collect();
        all.sort();
        all
    }

    /// A front does not answer: another one keeps its functions until its session is
    /// over, or it begins another life, or half of `quietMs` is.
    fn shun(self: &Arc<Self>, name: &str) {
        let life = self.known.borrow().node(name, "shuttle").map_or(0, |n| n.life);
        let until = Instant::now() + self.ratio(2.0);
        if self.inside.lock().unwrap().dark.insert(name.to_owned(), Dark { until, life }).is_none() {
            tally::change!("{name} does not answer");
            self.arrange();
        }
    }

    /// Whether anybody is there at a front.
    async fn answers(&self, inner: &str) -> bool {
        self.bench.to(inner).call(Body::Ack(Ack {}), self.ratio(16.0)).await.is_ok()
    }

    /// Another front passes some over that are well as far as is known here: they are
    /// looked for from here too, before there are two keepers of one function.
    async fn look_for(self: Arc<Self>, a: SlotAsk, w: Waiter) {
        let fronts = self.fronts.lock().unwrap().clone();
        let mine = self.dark();
        let asked: Vec<(String, String)> = fronts
            .iter()
            .filter(|f| a.dark.contains(&f.1) && !mine.contains(&f.1))
            .map(|f| (f.1.clone(), f.2.clone()))
            .collect();
        for (name, inner) in asked {
            if self.answers(&inner).await {
                let outcome = SlotOutcome::Elsewhere as i32;
                return w.send(SlotGrant { outcome, unit: name, ..SlotGrant::default() });
            }
            self.shun(&name);
        }
        self.taken(a, w);
    }

    fn carry_out(self: &Arc<Self>, i: &mut Inside, effects: Vec<Effect>) {
        for e in effects {
            match e {
                Effect::Grant { hand, unit, address, starting } => {
                    tally::count("slots_granted");
                    if let Some(w) = i.waiters.remove(&hand) {
                        let outcome = SlotOutcome::Granted as i32;
                        w.send(SlotGrant { outcome, unit, address, starting, retry_ms: 0 });
                    }
                }
                Effect::Refuse { hand, retry_ms } => {
                    tally::count("slots_refused");
                    if let Some(w) = i.waiters.remove(&hand) {
                        // Nothing to wait for: kept elsewhere by now.
                        let outcome = if retry_ms == 0 { SlotOutcome::Elsewhere } else { SlotOutcome::None } as i32;
                        w.send(SlotGrant { outcome, retry_ms: retry_ms as u32, ..SlotGrant::default() });
                    }
                }
                Effect::Start { plant, nonce } => {
                    tally::count("starts_asked");
                    tokio::spawn(self.clone().start_unit(plant, nonce));
                }
                Effect::Stop { unit, .. } => {
                    tally::count("stops_asked");
                    tokio::spawn(self.clone().stop_unit(unit));
                }
            }
        }
    }

    fn step(self: &Arc<Self>, f: impl FnOnce(&mut Creel, u64, &mut Vec<Effect>)) {
        let mut guard = self.inside.lock().unwrap();
        let i = &mut *guard;
        let mut out = Vec::new();
        f(&mut i.creel, self.now(), &mut out);
        self.carry_out(i, out);
    }

    /// Asks the leader for a processor, by one nonce until it is clear what came of it.
    async fn start_unit(self: Arc<Self>, plant: String, nonce: String) {
        let wait = self.ratio(4.0);
        let end = Instant::now() + 4 * wait;
        let (mut full, mut pause) = (false, self.ratio(100.0));
        while Instant::now() < end {
            let leader = self.known.borrow().leader.clone();
            let ask = Start { plant: plant.clone(), nonce: nonce.clone(), zone: self.caliper.zone.clone() };
            let asked =
                if leader.is_empty() { None } else { self.bench.to(&leader).call(Body::Start(ask), wait).await.ok() };
            if let Some(Body::StartAck(a)) = asked {
                if !a.unit.is_empty() {
                    self.step(|c, now, out| c.started(&plant, &nonce, &a.unit, &a.address, now, out));
                    return;
                }
                if a.full {
                    full = true;
                    break;
                }
                if !a.leader.is_empty() && a.leader != leader {
                    self.known.send_if_modified(|k| k.take(&News { leader: a.leader, ..News::default() }));
                }
            }
            // Longer each time: hundreds of functions may be asked for while nobody is
            // leading.
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(wait / 2);
        }
        tally::count("starts_given_up");
        self.step(|c, now, out| c.not_started(&plant, &nonce, full, now, out));
    }

    async fn stop_unit(self: Arc<Self>, unit: String) {
        for _ in 0..4 {
            let leader = self.known.borrow().leader.clone();
            if !leader.is_empty()
                && let Ok(Body::Ack(_)) =
                    self.bench.to(&leader).call(Body::Stop(StopUnit { unit: unit.clone() }), self.ratio(4.0)).await
            {
                return;
            }
            tokio::time::sleep(self.ratio(20.0)).await;
        }
        // It is listed still, and found idle again by whoever keeps the function.
        tally::count("stops_given_up");
    }

    fn handle(self: &Arc<Self>, body: Body, peg: Peg) {
        match body {
            Body::SlotAsk(a) => self.asked(a, Waiter::Far(peg)),
            Body::Ack(a) => peg.send(Body::Ack(a)),
            Body::SlotBack(b) => self.step(|c, now, out| c.back(&b, now, out)),
            Body::SlotsHeld(h) => self.step(|c, now, _| {
                for one in &h.held {
                    c.held(&h.front, one, now);
                }
            }),
            Body::Status(_) => {
                let k = self.known.borrow().have();
                let i = self.inside.lock().unwrap();
                let functions: Vec<serde_json::Value> = i
                    .creel
                    .tallies()
                    .into_iter()
                    .filter(|t| t.1 + t.2 + t.3 > 0)
                    .map(|t| serde_json::json!({"plant": t.0, "processors": t.1, "held": t.2, "waiting": t.3}))
                    .collect();
                let json = serde_json::json!({"node": self.caliper.node, "ready": self.is_ready(),
                    "template": k.template, "roster": k.roster, "holds": i.holds.len(), "keeps": functions,
                    "counters": tally::render()});
                drop(i);
                peg.send(Body::StatusAck(StatusAck { json: json.to_string() }));
            }
            _ => {}
        }
    }

    fn asked(self: &Arc<Self>, a: SlotAsk, w: Waiter) {
        let mine = |dark: &[String]| self.keeper_but(&a.plant, dark).is_some_and(|k| k.0 == self.caliper.node);
        if mine(&self.dark()) {
            self.taken(a, w);
        } else if mine(&a.dark) {
            tokio::spawn(self.clone().look_for(a, w));
        } else {
            let outcome = SlotOutcome::Elsewhere as i32;
            w.send(SlotGrant { outcome, ..SlotGrant::default() });
        }
    }

    fn taken(self: &Arc<Self>, a: SlotAsk, w: Waiter) {
        let mut guard = self.inside.lock().unwrap();
        let i = &mut *guard;
        i.waiters.insert((a.front.clone(), a.ticket), w);
        let mut out = Vec::new();
        i.creel.ask(&a, self.now(), &mut out);
        self.carry_out(i, out);
    }

    /// A slot for one request; None if none can be had in time, with the time after
    /// which one may.
    async fn slot(self: &Arc<Self>, plant: &str, c: &Channel, left: Duration) -> Result<(u64, SlotGrant), u64> {
        let end = Instant::now() + left;
        let mut said = 0;
        while Instant::now() < end {
            let Some((name, inner)) = self.keeper(plant) else { break };
            let patience = end.saturating_duration_since(Instant::now());
            // One for each ask: what became of an earlier one is nothing to this one.
            let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
            let ask = SlotAsk {
                plant: plant.to_owned(),
                front: self.caliper.node.clone(),
                ticket,
                patience_ms: patience.as_millis() as u32,
                hold_ms: (c.cutoff_ms as u32).saturating_add(patience.as_millis() as u32),
                aim_ms: c.setpoint_ms as u32,
                dark: self.dark(),
            };
            // Dropped before there is an answer: the keeper is told, whether it granted
            // one by then or not.
            let empty =
                SlotBack { plant: plant.to_owned(), front: self.caliper.node.clone(), ticket, ..SlotBack::default() };
            let to = Some((name.clone(), inner.clone()));
            let mut given_up = Back { shuttle: self, to, back: Some(empty) };
            let granted = if name == self.caliper.node {
                let (tx, rx) = oneshot::channel();
                self.asked(ask, Waiter::Near(tx));
                rx.await.ok()
            } else {
                let mut rx = self.known.subscribe();
                rx.mark_unchanged();
                let end = self.bench.to(&inner);
                // A keeper that is gone from the roster answers nothing any more.
                let gone = async {
                    loop {
                        let _ = rx.changed().await;
                        if self.keeper(plant).is_none_or(|k| k.0 != name) {
                            return;
                        }
                    }
                };
                // A wait may be long; whether there is anybody at all is asked apart.
                let there = async {
                    loop {
                        tokio::time::sleep(self.ratio(16.0)).await;
                        if !self.answers(&inner).await {
                            return;
                        }
                    }
                };
                let asked = tokio::select! {
                    // First: the next keeper is not told of a slot that is granted by
                    // the former one from now on.
                    biased;
                    _ = gone => Ok(Body::Ack(Ack {})),
                    a = end.call(Body::SlotAsk(ask), patience) => a.map_err(|_| ()),
                    _ = there => Err(()),
                };
                match asked {
                    Ok(Body::SlotGrant(g)) => Some(g),
                    Ok(_) => None,
                    Err(()) => {
                        self.shun(&name);
                        None
                    }
                }
            };
            if granted.is_some() {
                given_up.back = None;
            }
            drop(given_up);
            match granted {
                Some(g) if g.outcome == SlotOutcome::Granted as i32 => {
                    let held = SlotHeld {
                        plant: plant.to_owned(),
                        ticket,
                        unit: g.unit.clone(),
                        address: g.address.clone(),
                        hold_ms: 0,
                    };
                    let until = Instant::now() + patience + Duration::from_millis(c.cutoff_ms as u64);
                    self.inside.lock().unwrap().holds.insert(ticket, (held, until));
                    return Ok((ticket, g));
                }
                Some(g) if g.outcome == SlotOutcome::None as i32 => return Err(u64::from(g.retry_ms)),
                Some(g) if !g.unit.is_empty() => {
                    // That one does answer others: it is asked again.
                    self.inside.lock().unwrap().dark.remove(&g.unit);
                }
                _ => {}
            }
            said = 100;
            tokio::time::sleep(self.ratio(400.0).min(end.saturating_duration_since(Instant::now()))).await;
        }
        Err(said.max(50))
    }

    /// Tells the keeper, whoever that is by now.
    fn tell(self: &Arc<Self>, b: SlotBack) {
        let to = self.keeper(&b.plant);
        self.tell_to(to, b);
    }

    fn tell_to(self: &Arc<Self>, to: Option<(String, String)>, b: SlotBack) {
        if b.end != SlotEnd::Up as i32 {
            self.inside.lock().unwrap().holds.remove(&b.ticket);
        }
        let Some((name, inner)) = to else { return };
        if name == self.caliper.node {
            self.step(|c, now, out| c.back(&b, now, out));
        } else {
            self.bench.to(&inner).send(Body::SlotBack(b));
        }
    }

    /// One request of a client.
    async fn answer(self: Arc<Self>, r: Request) -> Reply {
        let begun = Instant::now();
        let template = self.known.borrow().template.clone();
        if template.revision == 0 {
            return busy(500);
        }
        let host = r.header("host").unwrap_or("");
        let path = r.path.split('?').next().unwrap_or("");
        let Some(c) = template.route(host, path) else { return fault(404, "no such route") };
        let Some(id) = r.header("x-attempt-id").filter(|v| !v.is_empty() && v.len() <= 128) else {
            return fault(400, "X-Attempt-Id is missing");
        };
        let given = match r.header("x-deadline-ms").map(|v| v.parse::<f64>()) {
            Some(Ok(d)) if (0.0..1e9).contains(&d) => d,
            Some(_) => return fault(400, "X-Deadline-Ms is not a time"),
            None => c.cutoff_ms,
        };
        let end = begun + Duration::from_micros((given * 1000.0) as u64);
        let plant = c.plant_for(dovetail::print(id.as_bytes())).to_owned();
        self.inside.lock().unwrap().ration.sent(begun);
        let ask = Passing {
            connection: r.header("connection").unwrap_or(""),
            limit: template.plant(&plant).map_or(8, |p| p.conn_limit.max(1)) as usize,
            safe: c.mode == "safe",
            request: &r,
            channel: c,
            plant: &plant,
            id,
            end,
        };
        let first = self.tries(&ask);
        if !ask.safe {
            return first.await;
        }
        // An answer may be lost, or its processor slow: when it takes far longer than
        // runs do, another is asked as well, and the first answer is the client's.
        tokio::pin!(first);
        let usual = self.inside.lock().unwrap().took.get(&plant).copied();
        let patience = c.setpoint_ms.max(1.0) * 0.6;
        let late = Duration::from_micros((usual.map_or(patience, |t| patience.max(3.0 * t)) * 1000.0) as u64);
        tokio::select! {
            reply = &mut first => return reply,
            _ = tokio::time::sleep(late), if usual.is_some() => {}
        }
        if !self.holds_any(&plant) || !self.again() {
            return first.await;
        }
        tally::count("sent_beside");
        let second = self.tries(&ask);
        tokio::pin!(second);
        tokio::select! {
            a = &mut first => if a.status < 500 { a } else { second.await },
            b = &mut second => if b.status < 500 { b } else { first.await },
        }
    }

    /// Whether a slot of this function is held here; if none is, whoever waits waits
    /// for a start, and another ask would only wait beside it.
    fn holds_any(&self, plant: &str) -> bool {
        self.inside.lock().unwrap().holds.values().any(|h| h.0.plant == plant)
    }

    /// Takes one of the repeats that are allowed to this front.
    fn again(&self) -> bool {
        let fronts = self.fronts.lock().unwrap().len().max(1);
        let slack = self.caliper.constraints.retry_slack / fronts as f64;
        self.inside.lock().unwrap().ration.again(slack, Instant::now())
    }

    /// Sends one request until there is an answer, or another try must not be.
    async fn tries(self: &Arc<Self>, ask: &Passing<'_>) -> Reply {
        let c = ask.channel;
        let (mut tries, mut unclear) = (0, false);
        loop {
            let left = ask.end.saturating_duration_since(Instant::now());
            // What is left must do for a run; nine tenths of it may go into waiting.
            let (ticket, g) = match self.slot(ask.plant, c, left * 9 / 10).await {
                Ok(g) => g,
                Err(_) if unclear => return fault(502, "it may have run"),
                Err(retry) => {
                    tally::count("answers_503");
                    return busy(retry);
                }
            };
            let back = SlotBack {
                plant: ask.plant.to_owned(),
                front: self.caliper.node.clone(),
                ticket,
                unit: g.unit.clone(),
                ..SlotBack::default()
            };
            let sent = Instant::now();
            // If nobody waits for this try any more, the processor drops it as well.
            let mut guard = Back { shuttle: self, to: None, back: Some(back.clone()) };
            let heard = self.pass(ask, &g, &back).await;
            guard.back = None;
            let took = sent.elapsed().as_millis().max(1) as u32;
            let (ended, took) = match &heard {
                Heard::Whole(_) => (SlotEnd::Done, if g.starting { 0 } else { took }),
                Heard::Missed(_, end) => (*end, 0),
            };
            if took > 0 {
                let mut i = self.inside.lock().unwrap();
                let t = i.took.entry(ask.plant.to_owned()).or_insert(f64::from(took));
                *t = *t * 0.9 + f64::from(took) * 0.1;
            }
            self.tell(SlotBack { end: ended as i32, took_ms: took, ..back });
            tries += 1;
            let gap = match heard {
                Heard::Whole(a) => return reply(a),
                Heard::Missed(gap, _) => gap,
            };
            match gap.verdict() {
                Verdict::NotRun => tally::count("sends_not_run"),
                _ => tally::count("sends_unclear"),
            }
            unclear |= gap.verdict() == Verdict::MayHaveRun;
            match gap.again(if ask.safe { Class::Safe } else { Class::Unsafe }) {
                Again::Front => {}
                Again::FrontTries if tries < c.tries.max(1) => {}
                _ if gap == Gap::Silent => {
                    tally::count("answers_504");
                    return fault(504, "no answer in time");
                }
                _ => return fault(502, "it may have run"),
            }
            if !self.again() {
                return if unclear { fault(502, "it may have run") } else { busy(100) };
            }
            tally::count("sent_again");
        }
    }

    async fn pass(self: &Arc<Self>, ask: &Passing<'_>, g: &SlotGrant, back: &SlotBack) -> Heard {
        let (r, c, id, end) = (ask.request, ask.channel, ask.id, ask.end);
        let step = self.ratio(200.0);
        if g.starting {
            // It refuses until it has started.
            loop {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Heard::Missed(Gap::NotSent, SlotEnd::Dark);
                }
                match self.chuck.open(&g.address, left.min(self.ratio(20.0))).await {
                    Ok(()) => break,
                    Err(_) => tokio::time::sleep(step.min(left)).await,
                }
            }
            self.tell(SlotBack { end: SlotEnd::Up as i32, ..back.clone() });
        }
        let late = Heard::Missed(Gap::Silent, if g.starting { SlotEnd::Dark } else { SlotEnd::Done });
        let unclear = Heard::Missed(Gap::Lost, SlotEnd::Done);
        let left = end.saturating_duration_since(Instant::now());
        let within = left.min(Duration::from_micros((c.cutoff_ms * 1000.0) as u64));
        if within < Duration::from_millis(2) {
            return late;
        }
        let deadline = within.as_millis().to_string();
        let mut headers: Vec<(&str, &str)> = Vec::with_capacity(r.headers.len() + 2);
        for (n, v) in &r.headers {
            let own = ["host", "x-deadline-ms", "x-target-instance"];
            if !hop_by_hop(n, ask.connection) && !own.iter().any(|o| n.eq_ignore_ascii_case(o)) {
                headers.push((n, v));
            }
        }
        headers.push(("X-Deadline-Ms", &deadline));
        headers.push(("X-Target-Instance", &g.unit));
        let host = r.header("host").unwrap_or("");
        // What must not run twice goes over a connection that was heard just now.
        let newest = (!ask.safe).then(|| self.ratio(20.0));
        let call = Call { method: &r.method, path: &r.path, host, headers: &headers, body: &r.body, id, newest };
        match self.chuck.call(&g.address, call, ask.limit, within).await {
            Ok(a) if a.status == 421 => Heard::Missed(Gap::Refused, SlotEnd::Gone),
            Ok(a) if a.header("x-not-run").is_some() && a.status >= 400 => Heard::Missed(Gap::Refused, SlotEnd::Full),
            Ok(a) if (200..300).contains(&a.status) => {
                let sealed = a.header("x-seal").is_some_and(|s| !s.is_empty());
                if sealed && a.header("content-encoding").is_none() && a.whole {
                    Heard::Whole(a)
                } else {
                    tally::count("answers_not_whole");
                    unclear
                }
            }
            Ok(a) if a.status == 504 => late,
            Ok(a) if a.whole => Heard::Whole(a),
            Ok(_) => unclear,
            // Only who refuses is gone: packets of one that is well are lost at times.
            Err(Miss::NotSent) if dovetail::refuses(&g.address, step).await => {
                Heard::Missed(Gap::NotSent, SlotEnd::Gone)
            }
            Err(Miss::NotSent) => Heard::Missed(Gap::NotSent, SlotEnd::Dark),
            Err(Miss::Lost) => unclear,
            Err(Miss::Silent) => late,
        }
    }

    /// Follows the apprentice beside it; keeps what it is to keep.
    async fn follow(self: Arc<Self>) {
        let wait = self.ratio(8.0);
        let addr = loopback(&self.caliper);
        let mut told = false;
        loop {
            let leaving = *self.closing.borrow() != Closing::Open;
            let node = Node {
                name: self.caliper.node.clone(),
                role: "shuttle".into(),
                inner: self.caliper.inner_addr(Role::Hatch),
                life: self.life,
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
                    if self.known.send_if_modified(|k| k.take(&n)) {
                        self.arrange();
                    }
                }
                _ => tokio::time::sleep(wait / 16).await,
            }
        }
    }

    fn keeps(&self, plant: &str) -> bool {
        self.inside.lock().unwrap().creel.keeps(plant)
    }

    /// Asks the leader what the platform lists of what is kept here.
    async fn ask_units(self: Arc<Self>) {
        let period = Duration::from_millis((self.caliper.constraints.converge_ms / 5.0) as u64);
        let mut digest = 0;
        loop {
            // At the start nothing is known of what runs already.
            tokio::time::sleep(if digest == 0 { period / 8 } else { period }).await;
            let leader = self.known.borrow().leader.clone();
            if leader.is_empty() {
                continue;
            }
            let ask = UnitsAsk { front: self.caliper.node.clone(), digest };
            if let Ok(Body::Units(u)) = self.bench.to(&leader).call(Body::UnitsAsk(ask), period).await
                && u.known
                && u.digest != digest
            {
                digest = u.digest;
                *self.units.lock().unwrap() = u.units;
                self.arrange();
            }
        }
    }

    /// The roster or the configuration has changed: who keeps what, and what is
    /// there of what is kept here.
    fn arrange(self: &Arc<Self>) {
        let known = self.known.borrow().clone();
        let fronts = dovetail::fronts(&known.roster);
        let before = self.fronts.lock().unwrap().clone();
        // One that begins again may be asked at once.
        self.inside.lock().unwrap().dark.retain(|n, d| known.node(n, "shuttle").is_some_and(|x| x.life == d.life));
        let dark = self.dark();
        let passed_over = std::mem::replace(&mut self.inside.lock().unwrap().passed_over, dark.clone());
        let moved = *before != fronts || dark != passed_over;
        let there: HashSet<String> =
            known.roster.nodes.iter().filter(|n| n.role == "shuttle").map(|n| n.name.clone()).collect();
        *self.fronts.lock().unwrap() = Arc::new(fronts);
        let mut kept: HashMap<String, (Facts, Vec<Listed>)> = HashMap::new();
        for p in known.template.plants.iter().filter(|p| p.is_function()) {
            let mine = |dark: &[String]| self.keeper_but(&p.name, dark).is_some_and(|k| k.0 == self.caliper.node);
            if mine(&dark) || mine(&[]) || self.keeps(&p.name) {
                let facts = Facts { most: p.max_inflight as usize, boot_ms: p.boot_ms as u64 };
                kept.insert(p.name.clone(), (facts, Vec::new()));
            }
        }
        for u in self.units.lock().unwrap().iter() {
            if let Some(k) = kept.get_mut(&u.plant) {
                k.1.push(Listed { id: u.id.clone(), address: u.address.clone(), draining: u.draining });
            }
        }
        self.step(|c, now, out| {
            c.keep(&kept, now, out);
            if moved {
                c.fronts(&there, now, out);
            }
        });
        // Those that keep what is held here now are told of it.
        let mut news: HashMap<String, Vec<SlotHeld>> = HashMap::new();
        {
            let i = self.inside.lock().unwrap();
            for (held, until) in i.holds.values() {
                let now = self.keeper_but(&held.plant, &dark);
                if let Some((name, inner)) = &now
                    && moved
                    && *name != self.caliper.node
                {
                    let hold_ms = until.saturating_duration_since(Instant::now()).as_millis() as u32;
                    news.entry(inner.clone()).or_default().push(SlotHeld { hold_ms, ..held.clone() });
                }
            }
        }
        for (inner, held) in news {
            self.bench.to(&inner).send(Body::SlotsHeld(SlotsHeld { front: self.caliper.node.clone(), held }));
        }
    }
}

/// Gives the slot back when nobody waits for it any more.
struct Back<'a> {
    shuttle: &'a Arc<Shuttle>,
    /// The keeper that was asked; None: whoever it is by then.
    to: Option<(String, String)>,
    back: Option<SlotBack>,
}

impl Drop for Back<'_> {
    fn drop(&mut self) {
        if let Some(b) = self.back.take() {
            match self.to.take() {
                Some(to) => self.shuttle.tell_to(Some(to), b),
                None => self.shuttle.tell(b),
            }
        }
    }
}

fn reply(a: Answer) -> Reply {
    let connection = a.header("connection").unwrap_or("").to_owned();
    let passed = a.headers.into_iter().filter(|(n, _)| !hop_by_hop(n, &connection)).collect();
    Reply { body: a.body, passed, ..Reply::new(a.status) }
}

/// Runs a shuttle until it is told to stop.
pub async fn run(caliper: Caliper, mut stop: watch::Receiver<bool>) -> Result<(), String> {
    let quiet = caliper.constraints.quiet_ms;
    let silence = Duration::from_millis((quiet / 4.0) as u64);
    let c = &caliper.constraints;
    let window = Duration::from_secs_f64(c.retry_window_s.max(0.1));
    let life = dovetail::new_life();
    let shuttle = Arc::new(Shuttle {
        bench: Bench::new(silence),
        chuck: Chuck::new(Duration::from_millis((quiet / 4.0) as u64)),
        known: watch::channel(Known::default()).0,
        closing: watch::channel(Closing::Open).0,
        inside: Mutex::new(Inside {
            creel: Creel::new(&caliper.node, life, (quiet / 40.0) as u64, (quiet / 4.0) as u64),
            waiters: HashMap::new(),
            dark: HashMap::new(),
            passed_over: Vec::new(),
            took: HashMap::new(),
            holds: HashMap::new(),
            ration: Ration::new(c.retry_ratio, window, Instant::now()),
        }),
        fronts: Mutex::default(),
        units: Mutex::default(),
        start: Instant::now(),
        tickets: AtomicU64::new(life),
        life,
        caliper: caliper.clone(),
    });
    let bind = async |addr: String| tokio::net::TcpListener::bind(&addr).await.map_err(|e| format!("{addr}: {e}"));
    let inner = bind(caliper.inner_addr(Role::Hatch)).await?;
    let s = shuttle.clone();
    tokio::spawn(dovetail::serve(inner, silence, move |body, peg| s.handle(body, peg)));
    tokio::spawn(shuttle.clone().follow());
    tokio::spawn(shuttle.clone().ask_units());
    let s = shuttle.clone();
    let ready = bind(caliper.listen.ready.clone()).await?;
    let open = watch::channel(Closing::Open);
    tokio::spawn(spindle::listen(ready, Bounds::default, open.1, move |_| {
        let ok = s.is_ready();
        async move { if ok { Reply::new(200) } else { Reply::new(503) } }
    }));
    let front = bind(caliper.listen.front.clone()).await?;
    let (s, sb) = (shuttle.clone(), shuttle.clone());
    tokio::spawn(spindle::listen(
        front,
        move || sb.bounds(),
        shuttle.closing.subscribe(),
        move |r| s.clone().answer(r),
    ));
    let s = shuttle.clone();
    tokio::spawn(async move {
        let mut rounds = 0u64;
        loop {
            tokio::time::sleep(s.ratio(50.0)).await;
            rounds += 1;
            s.step(|c, now, out| c.tick(now, out));
            if s.dark() != s.inside.lock().unwrap().passed_over {
                s.arrange();
            }
            if rounds.is_multiple_of(50) {
                s.chuck.sweep(|_| true);
            }
            if rounds.is_multiple_of(400) {
                tally::report(&s.caliper.node, &dovetail::sent());
            }
        }
    });
    let _ = stop.wait_for(|s| *s).await;
    let begun = Instant::now();
    tally::change!("draining");
    let grace = Duration::from_millis((caliper.constraints.grace_s * 1000.0) as u64);
    let _ = shuttle.closing.send(Closing::Draining);
    // The platform needs two misses and a little to send nobody here any more.
    tokio::time::sleep(grace * 2 / 5).await;
    let _ = shuttle.closing.send(Closing::Shut);
    while begun.elapsed() < grace * 4 / 5 {
        tokio::time::sleep(silence / 10).await;
        if spindle::unanswered() == 0 && begun.elapsed() > grace / 2 {
            break;
        }
    }
    tally::report(&caliper.node, &dovetail::sent());
    Ok(())
}
