//! Charter and roster as they are passed on: whole, or only what has changed
//! since the version that the other has.

use crate::msg::{Charter, Gone, News, Node, Roster, Unit};
use bytes::Bytes;
use std::collections::{HashMap, HashSet};

/// So many removals are remembered for those that are behind.
const REMEMBERED: usize = 256;

/// What is packed is never longer than this when it is whole again.
const UNPACKED: usize = 4 << 20;

impl News {
    /// Puts in a whole configuration, packed if that is worth it.
    pub fn put_template(&mut self, json: Bytes) {
        if json.len() < 4096 {
            self.template = Some(json);
        } else {
            self.packed = lz4_flex::compress_prepend_size(&json).into();
        }
    }

    /// The whole configuration, if there is one.
    pub fn whole_template(&self) -> Option<Bytes> {
        if self.packed.is_empty() {
            return self.template.clone();
        }
        let size =
            self.packed.get(..4).and_then(|s| s.try_into().ok()).map_or(usize::MAX, |s| u32::from_le_bytes(s) as usize);
        let whole = (size <= UNPACKED).then(|| lz4_flex::decompress_size_prepended(&self.packed).ok()).flatten();
        if whole.is_none() {
            tally::count("news_not_unpacked");
        }
        whole.map(Bytes::from)
    }
}

impl Charter {
    /// What one that has version `have` lacks.
    pub fn since(&self, have: u64) -> Charter {
        if have == 0 || have > self.version {
            return self.clone();
        }
        let partitions = self.partitions.iter().filter(|p| p.changed > have).cloned().collect();
        Charter {
            version: self.version,
            partitions,
            rollouts: self.rollouts.clone(),
            retires: self.retires.clone(),
            since: have,
        }
    }

    /// Takes what is newer; tells whether anything was. Changes since a version
    /// that this one has not reached leave a gap, and are not taken.
    pub fn take(&mut self, c: &Charter) -> bool {
        if c.version <= self.version || c.since > self.version {
            return false;
        }
        if c.since == 0 {
            *self = c.clone();
            return true;
        }
        for p in &c.partitions {
            match self.partitions.iter_mut().find(|x| x.id == p.id) {
                Some(x) => x.clone_from(p),
                None => self.partitions.push(p.clone()),
            }
        }
        self.rollouts.clone_from(&c.rollouts);
        self.retires.clone_from(&c.retires);
        self.version = c.version;
        true
    }
}

/// A leader's term stands in the upper bits of a roster's version: changes are
/// counted within one leader's time only, as another one starts from what it
/// happened to know.
fn leader(version: u64) -> u64 {
    version >> 24
}

fn same_node(a: &Node, b: &Node) -> bool {
    (a.life, a.leaving, a.born) == (b.life, b.leaving, b.born)
        && [&a.name, &a.role, &a.zone, &a.region, &a.inner] == [&b.name, &b.role, &b.zone, &b.region, &b.inner]
}

fn same_unit(a: &Unit, b: &Unit) -> bool {
    (a.capacity, a.draining, a.cold) == (b.capacity, b.draining, b.cold)
        && [&a.id, &a.plant, &a.address, &a.zone, &a.revision] == [&b.id, &b.plant, &b.address, &b.zone, &b.revision]
}

impl Roster {
    /// Whether these are not the nodes and processors that it holds.
    pub fn differs(&self, nodes: &[&Node], units: &[Unit], listed: bool) -> bool {
        self.listed != listed
            || self.nodes.len() != nodes.len()
            || self.units.len() != units.len()
            || !self.nodes.iter().zip(nodes).all(|(a, b)| same_node(a, b))
            || !self.units.iter().zip(units).all(|(a, b)| same_unit(a, b))
    }

    /// The leader's next version. Nodes come in order of their names, processors in
    /// that of their ids.
    pub fn publish(&mut self, version: u64, nodes: &[&Node], units: &[Unit], listed: bool) {
        if leader(self.version) != leader(version) {
            self.gone.clear();
            self.from = version;
        }
        let old = std::mem::take(&mut self.nodes);
        let by_name: HashMap<&str, &Node> = old.iter().map(|n| (n.name.as_str(), n)).collect();
        for n in nodes {
            let known = by_name.get(n.name.as_str()).filter(|o| same_node(o, n)).map_or(version, |o| o.changed);
            self.nodes.push(Node { changed: known, ..(*n).clone() });
        }
        let now: HashSet<&str> = nodes.iter().map(|n| n.name.as_str()).collect();
        for o in old.iter().filter(|o| !now.contains(o.name.as_str())) {
            self.gone.push(Gone { name: o.name.clone(), unit: false, version });
        }
        let old = std::mem::take(&mut self.units);
        let by_id: HashMap<&str, &Unit> = old.iter().map(|u| (u.id.as_str(), u)).collect();
        for u in units {
            let known = by_id.get(u.id.as_str()).filter(|o| same_unit(o, u)).map_or(version, |o| o.changed);
            self.units.push(Unit { changed: known, ..u.clone() });
        }
        let now: HashSet<&str> = units.iter().map(|u| u.id.as_str()).collect();
        for o in old.iter().filter(|o| !now.contains(o.id.as_str())) {
            self.gone.push(Gone { name: o.id.clone(), unit: true, version });
        }
        self.version = version;
        self.listed = listed;
        self.forget();
    }

    fn forget(&mut self) {
        if self.gone.len() > REMEMBERED {
            let cut = self.gone.len() - REMEMBERED;
            self.from = self.from.max(self.gone[cut - 1].version);
            self.gone.drain(..cut);
        }
    }

    /// What one that has version `have` lacks.
    pub fn since(&self, have: u64) -> Roster {
        if have < self.from || have > self.version || leader(have) != leader(self.version) {
            return Roster { gone: Vec::new(), from: 0, ..self.clone() };
        }
        Roster {
            version: self.version,
            nodes: self.nodes.iter().filter(|n| n.changed > have).cloned().collect(),
            units: self.units.iter().filter(|u| u.changed > have).cloned().collect(),
            listed: self.listed,
            since: have,
            gone: self.gone.iter().filter(|g| g.version > have).cloned().collect(),
            from: 0,
        }
    }

    /// Takes what is newer; tells whether anything was.
    pub fn take(&mut self, r: &Roster) -> bool {
        if r.version <= self.version {
            return false;
        }
        if r.since == 0 {
            let units = std::mem::take(&mut self.units);
            let listed = self.listed;
            *self = Roster { gone: Vec::new(), from: r.version, ..r.clone() };
            if !r.listed && listed {
                // From a leader that could not ask the platform yet: that is no
                // news of processors.
                self.units = units;
                self.listed = true;
            }
            return true;
        }
        if r.since > self.version || leader(r.since) != leader(self.version) {
            return false;
        }
        for g in &r.gone {
            if g.unit {
                self.units.retain(|u| u.id != g.name || u.changed > g.version);
            } else {
                self.nodes.retain(|n| n.name != g.name || n.changed > g.version);
            }
        }
        for n in &r.nodes {
            match self.nodes.binary_search_by(|x| x.name.cmp(&n.name)) {
                Ok(at) => self.nodes[at] = n.clone(),
                Err(at) => self.nodes.insert(at, n.clone()),
            }
        }
        for u in &r.units {
            match self.units.binary_search_by(|x| x.id.cmp(&u.id)) {
                Ok(at) => self.units[at] = u.clone(),
                Err(at) => self.units.insert(at, u.clone()),
            }
        }
        self.gone.extend(r.gone.iter().filter(|g| g.version > self.version).cloned());
        self.version = r.version;
        self.listed |= r.listed;
        self.forget();
        true
    }
}
