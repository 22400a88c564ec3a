use bytes::Bytes;
use dovetail::msg::*;
use dovetail::{Bench, Body, after, possible};
use gauge::{Caliper, Pattern, Role, Template, Tree};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// What a process knows of the world. Newer versions replace older ones; it
/// never goes back.
#[derive(Clone, Default)]
pub struct Known {
    pub json: Bytes,
    /// The last changes of the configuration that were taken, to pass them on.
    pub steps: Vec<TemplateStep>,
    pub template: Arc<Pattern>,
    pub charter: Arc<Charter>,
    pub roster: Arc<Roster>,
    pub leader: String,
    /// A change did not fit: the whole configuration is wanted.
    whole: bool,
}

impl Known {
    pub fn have(&self) -> Have {
        let template = if self.whole { 0 } else { self.template.revision };
        Have { template, charter: self.charter.version, roster: self.roster.version }
    }

    /// Takes whatever is newer; tells whether anything was.
    pub fn take(&mut self, news: &News) -> bool {
        let mut moved = false;
        if let Some(json) = news.whole_template()
            && let Ok(t) = Template::read(&json)
            && (t.revision > self.template.revision || (self.whole && t.revision == self.template.revision))
        {
            self.template = Arc::new(t.into());
            self.json = json;
            self.steps.clear();
            self.whole = false;
            moved = true;
        }
        moved |= self.take_steps(&news.steps);
        if let Some(c) = &news.charter
            && c.version > self.charter.version
        {
            moved |= Arc::make_mut(&mut self.charter).take(c);
        }
        if let Some(r) = &news.roster
            && r.version > self.roster.version
        {
            moved |= Arc::make_mut(&mut self.roster).take(r);
        }
        if !news.leader.is_empty() && news.leader != self.leader {
            self.leader = news.leader.clone();
            moved = true;
        }
        moved
    }

    /// Takes changes of the configuration, each on the revision that it was made for.
    fn take_steps(&mut self, steps: &[TemplateStep]) -> bool {
        let new: Vec<&TemplateStep> = steps.iter().filter(|s| s.revision > self.template.revision).collect();
        let Some(last) = new.last() else { return false };
        // One after the other on one tree; the last one's print is that of the whole.
        let made = Tree::read(self.template.revision, &self.json).and_then(|mut tree| {
            for s in &new {
                if s.since != tree.revision {
                    return Err("a change is missing".to_owned());
                }
                tree.adjust(&s.change)?;
            }
            tree.text()
        });
        let read = made.and_then(|j| match dovetail::print(&j) == last.print {
            true => Template::read(&j).map(|t| (Bytes::from(j), t)),
            false => Err("another print".into()),
        });
        let (json, t) = match read {
            Ok(r) => r,
            Err(e) => {
                // Not guessed: the whole is asked for.
                tally::debug!("changes of the configuration not taken: {e}");
                tally::count("steps_refused");
                self.whole = true;
                return false;
            }
        };
        let limit = json.len() / 2;
        self.steps.extend(steps.iter().filter(|s| s.revision > self.template.revision).cloned());
        while self.steps.iter().map(|s| s.change.len()).sum::<usize>() > limit {
            self.steps.remove(0);
        }
        (self.json, self.template) = (json, Arc::new(t.into()));
        true
    }

    /// The configuration for one that has revision `have`: what changed since, or
    /// the whole.
    fn template_since(&self, have: u64) -> (Option<Bytes>, Vec<TemplateStep>) {
        if self.template.revision <= have {
            return (None, Vec::new());
        }
        match self.steps.iter().position(|s| s.since == have) {
            Some(at) => (None, self.steps[at..].to_vec()),
            None => (Some(self.json.clone()), Vec::new()),
        }
    }

    /// All that the other lacks, by its versions.
    pub fn news_for(&self, have: &Have) -> News {
        let mine = Have { template: self.template.revision, ..self.have() };
        let (template, steps) = self.template_since(have.template);
        let mut news = News {
            have: mine,
            steps,
            charter: (mine.charter > have.charter).then(|| self.charter.since(have.charter)),
            roster: (mine.roster > have.roster).then(|| self.roster.since(have.roster)),
            leader: self.leader.clone(),
            ..News::default()
        };
        if let Some(json) = template {
            news.put_template(json);
        }
        news
    }

    pub fn node(&self, name: &str, role: &str) -> Option<&Node> {
        // Rosters are in order of their nodes' names.
        let at = self.roster.nodes.binary_search_by(|n| n.name.as_str().cmp(name)).ok()?;
        self.roster.nodes.get(at).filter(|n| n.role == role)
    }
}

/// The session of one process: known state and how to reach the foremen.
pub struct Session {
    pub caliper: Caliper,
    pub bench: Arc<Bench>,
    known: watch::Sender<Known>,
    node: Mutex<Node>,
    foremen: Mutex<Vec<String>>,
}

impl Session {
    pub fn new(caliper: Caliper, node: Node, bench: Arc<Bench>) -> Arc<Session> {
        let foremen = caliper.seed_foremen();
        Arc::new(Session {
            known: watch::channel(Known::default()).0,
            node: Mutex::new(node),
            foremen: Mutex::new(foremen),
            bench,
            caliper,
        })
    }

    pub fn known(&self) -> Known {
        self.known.borrow().clone()
    }

    pub fn with_known<T>(&self, f: impl FnOnce(&Known) -> T) -> T {
        f(&self.known.borrow())
    }

    pub fn subscribe(&self) -> watch::Receiver<Known> {
        self.known.subscribe()
    }

    pub fn take(&self, news: &News) -> bool {
        self.known.send_if_modified(|k| k.take(news))
    }

    pub fn me(&self) -> Node {
        self.node.lock().unwrap().clone()
    }

    /// A life of this node is known that comes after its own: begins another.
    pub fn relive(&self, lived: u64) -> Option<u64> {
        let mut n = self.node.lock().unwrap();
        if lived < n.life || !possible(lived) {
            return None;
        }
        n.life = after(lived);
        tally::change!("a life after this one is known: now {}", n.life);
        Some(n.life)
    }

    /// This node's disk is another one than was known, since that life.
    pub fn reborn(&self, life: u64) {
        self.node.lock().unwrap().born = life;
    }

    pub fn set_leaving(&self) {
        self.node.lock().unwrap().leaving = true;
    }

    /// The settings name other foremen now: they are asked as well.
    pub fn reseed(&self, seeds: &[String]) {
        let mut all = self.foremen.lock().unwrap();
        for s in seeds {
            if !all.contains(s) {
                tally::change!("foreman {s} named by the settings");
                all.push(s.clone());
            }
        }
    }

    /// Takes new seeds whenever the settings change.
    pub async fn heed(self: Arc<Self>, mut settings: watch::Receiver<Caliper>) {
        while settings.changed().await.is_ok() {
            let seeds = settings.borrow_and_update().seed_foremen();
            self.reseed(&seeds);
        }
    }

    /// Foremen by how good they are to ask: those of this zone first.
    pub fn order_foremen(&self) -> Vec<String> {
        let mut all = self.foremen.lock().unwrap().clone();
        self.with_known(|k| {
            for n in k.roster.nodes.iter().filter(|n| n.role == "foreman") {
                if !all.contains(&n.inner) {
                    all.push(n.inner.clone());
                }
            }
            let near = |addr: &String| {
                let n = k.roster.nodes.iter().find(|n| n.role == "foreman" && n.inner == *addr);
                match n {
                    Some(n) if n.zone == self.caliper.zone => 0,
                    Some(n) if n.region == self.caliper.region => 1,
                    _ => 2,
                }
            };
            let mine = self.caliper.inner_addr(Role::Foreman);
            all.sort_by_key(|a| (near(a), *a != mine));
        });
        all
    }

    /// Keeps asking for news; ends never.
    pub async fn keep(self: Arc<Self>) {
        let quiet = self.caliper.constraints.quiet_ms;
        let wait = (quiet / 8.0) as u32;
        let (mut turn, mut failures) = (0usize, 0u32);
        loop {
            let foremen = self.order_foremen();
            let addr = foremen[turn % foremen.len()].clone();
            let mut node = self.me();
            if node.role == "lathe" {
                // A lathe's session is its lease.
                node.name.clear();
            }
            let w = Watch {
                node: (!node.name.is_empty()).then_some(node),
                have: self.with_known(|k| k.have()),
                wait_ms: wait,
                ..Watch::default()
            };
            // The first answer brings the whole, over what may be a slow link.
            let times = if w.have.template == 0 { 4 } else { 2 };
            let asked = self.bench.to(&addr).call(Body::Watch(w), Duration::from_millis(wait as u64 * times)).await;
            match asked {
                Ok(Body::News(n)) => {
                    failures = 0;
                    if !n.foremen.is_empty() {
                        let mut f = self.foremen.lock().unwrap();
                        for a in &n.foremen {
                            if !f.contains(a) {
                                f.push(a.clone());
                            }
                        }
                    }
                    self.take(&n);
                    if self.caliper.runs_functions() && !n.steps.is_empty() {
                        // Reading a large configuration costs a small machine much: what
                        // follows closely is taken together.
                        tokio::time::sleep(Duration::from_millis((self.caliper.constraints.converge_ms / 16.0) as u64))
                            .await;
                    }
                    if n.lived > 0 && self.relive(n.lived).is_some() {
                        continue;
                    }
                    if n.leader.is_empty() {
                        // It follows nobody itself: others may know more.
                        turn += 1;
                        tokio::time::sleep(Duration::from_millis((quiet / 80.0) as u64)).await;
                        continue;
                    }
                    if turn != 0 && self.order_foremen().first() != Some(&addr) {
                        // Once in a while back to the nearest.
                        turn = 0;
                    }
                }
                _ => {
                    tally::count("session_misses");
                    turn += 1;
                    failures += 1;
                    let pause = (quiet / 80.0) * f64::from(1 << failures.min(2));
                    tokio::time::sleep(Duration::from_millis(pause as u64)).await;
                }
            }
        }
    }
}
