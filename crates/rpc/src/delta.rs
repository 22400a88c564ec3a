//! Assignments and membership as they are passed on: whole, or only what has changed
//! since the version that the other has.

use crate::messages::{Assignments, Gone, Membership, Node, Processor, ViewUpdate};
use bytes::Bytes;
use prost::Message;
use std::borrow::Cow;
use std::collections::{HashMap, HashSet, VecDeque};

/// So many removals are remembered for those that are behind.
const REMEMBERED: usize = 256;

/// A membership from that size on is packed: links of two megabits a second take longer for it than
/// a small processor does.
const PACKED_MEMBERSHIP_BYTES: usize = 32 << 10;

/// For so many versions that others may have, what they lack is kept at hand.
const PREPARED_VERSIONS: usize = 8;

/// What is packed is never longer than this when it is whole again.
const UNPACKED: usize = 4 << 20;

impl ViewUpdate {
    /// Puts in a whole configuration, packed if that is worth it.
    pub fn put_configuration(&mut self, json: Bytes) {
        if json.len() < 4096 {
            self.configuration = Some(json);
        } else {
            self.packed = lz4_flex::compress_prepend_size(&json).into();
        }
    }

    /// Puts in a membership, packed if it is large.
    pub fn put_membership(&mut self, membership: Membership) {
        if membership.encoded_len() < PACKED_MEMBERSHIP_BYTES {
            self.membership = Some(membership);
        } else {
            telemetry::count("memberships_packed");
            self.packed_membership = lz4_flex::compress_prepend_size(&membership.encode_to_vec()).into();
        }
    }

    /// Takes over the membership of another answer, as it is.
    fn share_membership(&mut self, other: &ViewUpdate) {
        self.membership.clone_from(&other.membership);
        self.packed_membership = other.packed_membership.clone();
    }

    /// The membership, if there is one, packed or not.
    pub fn told_membership(&self) -> Option<Cow<'_, Membership>> {
        if self.packed_membership.is_empty() {
            return self.membership.as_ref().map(Cow::Borrowed);
        }
        let bytes = unpacked(&self.packed_membership)?;
        Membership::decode(bytes.as_slice()).ok().map(Cow::Owned)
    }

    /// The whole configuration, if there is one.
    pub fn whole_configuration(&self) -> Option<Bytes> {
        if self.packed.is_empty() {
            return self.configuration.clone();
        }
        unpacked(&self.packed).map(Bytes::from)
    }
}

/// What those lack who have some version of a membership, made once for all who have the same: when
/// it changes, hundreds ask at once.
#[derive(Default)]
pub struct MembershipUpdates {
    version: u64,
    /// By the version that is had.
    prepared: VecDeque<(u64, ViewUpdate)>,
}

impl MembershipUpdates {
    /// Puts into an answer what one lacks of a membership who has version `have`.
    pub fn put(&mut self, news: &mut ViewUpdate, membership: &Membership, have: u64) {
        if self.version != membership.version {
            self.version = membership.version;
            self.prepared.clear();
        }
        if !self.prepared.iter().any(|(of, _)| *of == have) {
            let mut update = ViewUpdate::default();
            update.put_membership(membership.since(have));
            self.prepared.truncate(PREPARED_VERSIONS - 1);
            self.prepared.push_front((have, update));
        }
        if let Some((_, update)) = self.prepared.iter().find(|(of, _)| *of == have) {
            news.share_membership(update);
        }
    }
}

/// What was packed, if it is whole and not longer than anything that is.
fn unpacked(packed: &[u8]) -> Option<Vec<u8>> {
    let size = packed.get(..4).and_then(|s| s.try_into().ok()).map_or(usize::MAX, |s| u32::from_le_bytes(s) as usize);
    let whole = (size <= UNPACKED).then(|| lz4_flex::decompress_size_prepended(packed).ok()).flatten();
    if whole.is_none() {
        telemetry::count("news_not_unpacked");
    }
    whole
}

impl Assignments {
    /// What one that has version `have` lacks.
    pub fn since(&self, have: u64) -> Assignments {
        if have == 0 || have > self.version {
            return self.clone();
        }
        let partitions = self.partitions.iter().filter(|p| p.changed > have).cloned().collect();
        Assignments {
            version: self.version,
            partitions,
            rollouts: self.rollouts.clone(),
            retires: self.retires.clone(),
            evacuations: self.evacuations.clone(),
            since: have,
        }
    }

    /// Takes what is newer; tells whether anything was. Changes since a version
    /// that this one has not reached leave a gap, and are not taken.
    pub fn take(&mut self, c: &Assignments) -> bool {
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
        self.evacuations.clone_from(&c.evacuations);
        self.version = c.version;
        true
    }
}

/// A leader's term stands in the upper bits of a membership's version: changes are
/// counted within one leader's time only, as another one starts from what it
/// happened to know.
fn leader(version: u64) -> u64 {
    version >> 24
}

fn same_node(a: &Node, b: &Node) -> bool {
    (a.incarnation, a.leaving, a.born) == (b.incarnation, b.leaving, b.born)
        && [&a.name, &a.role, &a.zone, &a.region, &a.inner] == [&b.name, &b.role, &b.zone, &b.region, &b.inner]
}

fn same_processor(a: &Processor, b: &Processor) -> bool {
    (a.capacity, a.draining, a.cold) == (b.capacity, b.draining, b.cold)
        && [&a.id, &a.service, &a.address, &a.zone, &a.revision]
            == [&b.id, &b.service, &b.address, &b.zone, &b.revision]
}

impl Membership {
    /// Whether these are not the nodes and processors that it holds.
    pub fn differs(&self, nodes: &[&Node], processors: &[Processor], listed: bool) -> bool {
        self.listed != listed
            || self.nodes.len() != nodes.len()
            || self.processors.len() != processors.len()
            || !self.nodes.iter().zip(nodes).all(|(a, b)| same_node(a, b))
            || !self.processors.iter().zip(processors).all(|(a, b)| same_processor(a, b))
    }

    /// The leader's next version. Nodes come in order of their names, processors in
    /// that of their ids.
    pub fn publish(&mut self, version: u64, nodes: &[&Node], processors: &[Processor], listed: bool) {
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
            self.gone.push(Gone { name: o.name.clone(), processor: false, version });
        }
        let old = std::mem::take(&mut self.processors);
        let by_id: HashMap<&str, &Processor> = old.iter().map(|u| (u.id.as_str(), u)).collect();
        for u in processors {
            let known = by_id.get(u.id.as_str()).filter(|o| same_processor(o, u)).map_or(version, |o| o.changed);
            self.processors.push(Processor { changed: known, ..u.clone() });
        }
        let now: HashSet<&str> = processors.iter().map(|u| u.id.as_str()).collect();
        for o in old.iter().filter(|o| !now.contains(o.id.as_str())) {
            self.gone.push(Gone { name: o.id.clone(), processor: true, version });
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
    pub fn since(&self, have: u64) -> Membership {
        if have < self.from || have > self.version || leader(have) != leader(self.version) {
            return Membership { gone: Vec::new(), from: 0, ..self.clone() };
        }
        Membership {
            version: self.version,
            nodes: self.nodes.iter().filter(|n| n.changed > have).cloned().collect(),
            processors: self.processors.iter().filter(|u| u.changed > have).cloned().collect(),
            listed: self.listed,
            since: have,
            gone: self.gone.iter().filter(|g| g.version > have).cloned().collect(),
            from: 0,
        }
    }

    /// Takes what is newer; tells whether anything was.
    pub fn take(&mut self, r: &Membership) -> bool {
        if r.version <= self.version {
            return false;
        }
        if r.since == 0 {
            let processors = std::mem::take(&mut self.processors);
            let listed = self.listed;
            *self = Membership { gone: Vec::new(), from: r.version, ..r.clone() };
            if !r.listed && listed {
                // From a leader that could not ask the platform yet: that is no
                // news of processors.
                self.processors = processors;
                self.listed = true;
            }
            return true;
        }
        if r.since > self.version || leader(r.since) != leader(self.version) {
            return false;
        }
        for g in &r.gone {
            if g.processor {
                self.processors.retain(|u| u.id != g.name || u.changed > g.version);
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
        for u in &r.processors {
            match self.processors.binary_search_by(|x| x.id.cmp(&u.id)) {
                Ok(at) => self.processors[at] = u.clone(),
                Err(at) => self.processors.insert(at, u.clone()),
            }
        }
        self.gone.extend(r.gone.iter().filter(|g| g.version > self.version).cloned());
        self.version = r.version;
        self.listed |= r.listed;
        self.forget();
        true
    }
}
