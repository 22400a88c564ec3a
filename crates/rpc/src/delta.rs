//! Propagation of assignments and membership, either whole or as a delta against the version that
//! the receiver has.

use crate::messages::{Assignments, Membership, Node, Processor, Removal, ViewUpdate};
use bytes::Bytes;
use prost::Message;
use std::borrow::Cow;
use std::collections::{HashMap, HashSet, VecDeque};

/// Maximum number of removals kept for receivers that are behind.
const MAX_REMOVALS: usize = 256;

/// A membership of this size or more is compressed: on links of 2 Mbit/s, sending it uncompressed
/// takes longer than compressing it on a small processor.
const PACKED_MEMBERSHIP_BYTES: usize = 32 << 10;

/// Maximum number of receivers' versions for which a prepared delta is cached.
const PREPARED_VERSIONS: usize = 8;

/// Maximum size of compressed data after decompression.
const MAX_UNPACKED_BYTES: usize = 4 << 20;

impl ViewUpdate {
    /// Sets the whole configuration; compresses it from 4 KiB on.
    pub fn put_configuration(&mut self, json: Bytes) {
        if json.len() < 4096 {
            self.configuration = Some(json);
        } else {
            self.packed_configuration = lz4_flex::compress_prepend_size(&json).into();
        }
    }

    /// Sets the membership; compresses it if it is large.
    pub fn put_membership(&mut self, membership: Membership) {
        if membership.encoded_len() < PACKED_MEMBERSHIP_BYTES {
            self.membership = Some(membership);
        } else {
            telemetry::count("memberships_packed");
            self.packed_membership = lz4_flex::compress_prepend_size(&membership.encode_to_vec()).into();
        }
    }

    /// Copies the membership of another update without decoding it.
    fn share_membership(&mut self, other: &ViewUpdate) {
        self.membership.clone_from(&other.membership);
        self.packed_membership = other.packed_membership.clone();
    }

    /// Returns the membership, decompressed if necessary; `None` if there is none or it cannot be
    /// decoded.
    pub fn decoded_membership(&self) -> Option<Cow<'_, Membership>> {
        if self.packed_membership.is_empty() {
            return self.membership.as_ref().map(Cow::Borrowed);
        }
        let bytes = unpacked(&self.packed_membership)?;
        Membership::decode(bytes.as_slice()).ok().map(Cow::Owned)
    }

    /// Returns the whole configuration, decompressed if necessary; `None` if there is none or it
    /// cannot be decompressed.
    pub fn decoded_configuration(&self) -> Option<Bytes> {
        if self.packed_configuration.is_empty() {
            return self.configuration.clone();
        }
        unpacked(&self.packed_configuration).map(Bytes::from)
    }
}

/// A cache of membership deltas by the receiver's version: when the membership changes, hundreds of
/// processes request it at once, so a delta is made once for all that have the same version.
#[derive(Default)]
pub struct MembershipUpdates {
    version: u64,
    /// Deltas with the receiver's version that each starts from, newest first.
    prepared: VecDeque<(u64, ViewUpdate)>,
}

impl MembershipUpdates {
    /// Sets in `update` the changes of `membership` since version `have`.
    pub fn put(&mut self, update: &mut ViewUpdate, membership: &Membership, have: u64) {
        if self.version != membership.version {
            self.version = membership.version;
            self.prepared.clear();
        }
        if !self.prepared.iter().any(|(base, _)| *base == have) {
            let mut delta = ViewUpdate::default();
            delta.put_membership(membership.delta_since(have));
            self.prepared.truncate(PREPARED_VERSIONS - 1);
            self.prepared.push_front((have, delta));
        }
        if let Some((_, delta)) = self.prepared.iter().find(|(base, _)| *base == have) {
            update.share_membership(delta);
        }
    }
}

/// Decompresses `packed`; `None` if it is damaged or would exceed `MAX_UNPACKED_BYTES`.
fn unpacked(packed: &[u8]) -> Option<Vec<u8>> {
    let size = packed.get(..4).and_then(|s| s.try_into().ok()).map_or(usize::MAX, |s| u32::from_le_bytes(s) as usize);
    let bytes = (size <= MAX_UNPACKED_BYTES).then(|| lz4_flex::decompress_size_prepended(packed).ok()).flatten();
    if bytes.is_none() {
        telemetry::count("news_not_unpacked");
    }
    bytes
}

impl Assignments {
    /// Returns the changes since version `have`, or everything if no delta is possible.
    pub fn delta_since(&self, have: u64) -> Assignments {
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

    /// Applies newer assignments, whole or a delta, and returns whether it did. A delta against a
    /// version that is not reached yet would leave a gap and is rejected.
    pub fn apply(&mut self, update: &Assignments) -> bool {
        if update.version <= self.version || update.since > self.version {
            return false;
        }
        if update.since == 0 {
            *self = update.clone();
            return true;
        }
        for p in &update.partitions {
            match self.partitions.iter_mut().find(|x| x.id == p.id) {
                Some(x) => x.clone_from(p),
                None => self.partitions.push(p.clone()),
            }
        }
        self.rollouts.clone_from(&update.rollouts);
        self.retires.clone_from(&update.retires);
        self.evacuations.clone_from(&update.evacuations);
        self.version = update.version;
        true
    }
}

/// Returns the leader's term, which is in the upper bits of a membership's version. Deltas are valid
/// within one term only, because a new leader starts from whatever membership it had received.
fn leader_term(version: u64) -> u64 {
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
    /// Returns whether these nodes and processors differ from the ones in this membership.
    pub fn differs(&self, nodes: &[&Node], processors: &[Processor], listed: bool) -> bool {
        self.listed != listed
            || self.nodes.len() != nodes.len()
            || self.processors.len() != processors.len()
            || !self.nodes.iter().zip(nodes).all(|(a, b)| same_node(a, b))
            || !self.processors.iter().zip(processors).all(|(a, b)| same_processor(a, b))
    }

    /// Publishes the leader's next version. `nodes` must be sorted by name and `processors` by id.
    pub fn publish(&mut self, version: u64, nodes: &[&Node], processors: &[Processor], listed: bool) {
        if leader_term(self.version) != leader_term(version) {
            self.removals.clear();
            self.removals_from = version;
        }
        let old = std::mem::take(&mut self.nodes);
        let by_name: HashMap<&str, &Node> = old.iter().map(|n| (n.name.as_str(), n)).collect();
        for n in nodes {
            let changed = by_name.get(n.name.as_str()).filter(|o| same_node(o, n)).map_or(version, |o| o.changed);
            self.nodes.push(Node { changed, ..(*n).clone() });
        }
        let names: HashSet<&str> = nodes.iter().map(|n| n.name.as_str()).collect();
        for o in old.iter().filter(|o| !names.contains(o.name.as_str())) {
            self.removals.push(Removal { name: o.name.clone(), processor: false, version });
        }
        let old = std::mem::take(&mut self.processors);
        let by_id: HashMap<&str, &Processor> = old.iter().map(|u| (u.id.as_str(), u)).collect();
        for u in processors {
            let changed = by_id.get(u.id.as_str()).filter(|o| same_processor(o, u)).map_or(version, |o| o.changed);
            self.processors.push(Processor { changed, ..u.clone() });
        }
        let ids: HashSet<&str> = processors.iter().map(|u| u.id.as_str()).collect();
        for o in old.iter().filter(|o| !ids.contains(o.id.as_str())) {
            self.removals.push(Removal { name: o.id.clone(), processor: true, version });
        }
        self.version = version;
        self.listed = listed;
        self.prune_removals();
    }

    /// Drops the oldest removals beyond `MAX_REMOVALS` and raises the version from which on they are
    /// complete.
    fn prune_removals(&mut self) {
        if self.removals.len() > MAX_REMOVALS {
            let cut = self.removals.len() - MAX_REMOVALS;
            self.removals_from = self.removals_from.max(self.removals[cut - 1].version);
            self.removals.drain(..cut);
        }
    }

    /// Returns the changes since version `have`, or everything if no delta is possible.
    pub fn delta_since(&self, have: u64) -> Membership {
        if have < self.removals_from || have > self.version || leader_term(have) != leader_term(self.version) {
            return Membership { removals: Vec::new(), removals_from: 0, ..self.clone() };
        }
        Membership {
            version: self.version,
            nodes: self.nodes.iter().filter(|n| n.changed > have).cloned().collect(),
            processors: self.processors.iter().filter(|u| u.changed > have).cloned().collect(),
            listed: self.listed,
            since: have,
            removals: self.removals.iter().filter(|g| g.version > have).cloned().collect(),
            removals_from: 0,
        }
    }

    /// Applies a newer membership, whole or a delta, and returns whether it did. A delta against a
    /// version that is not reached yet, or of another leader's term, is rejected.
    pub fn apply(&mut self, update: &Membership) -> bool {
        if update.version <= self.version {
            return false;
        }
        if update.since == 0 {
            let processors = std::mem::take(&mut self.processors);
            let listed = self.listed;
            *self = Membership { removals: Vec::new(), removals_from: update.version, ..update.clone() };
            if !update.listed && listed {
                // The leader could not query the platform yet, so its update says nothing about
                // processors.
                self.processors = processors;
                self.listed = true;
            }
            return true;
        }
        if update.since > self.version || leader_term(update.since) != leader_term(self.version) {
            return false;
        }
        for g in &update.removals {
            if g.processor {
                self.processors.retain(|u| u.id != g.name || u.changed > g.version);
            } else {
                self.nodes.retain(|n| n.name != g.name || n.changed > g.version);
            }
        }
        for n in &update.nodes {
            match self.nodes.binary_search_by(|x| x.name.cmp(&n.name)) {
                Ok(at) => self.nodes[at] = n.clone(),
                Err(at) => self.nodes.insert(at, n.clone()),
            }
        }
        for u in &update.processors {
            match self.processors.binary_search_by(|x| x.id.cmp(&u.id)) {
                Ok(at) => self.processors[at] = u.clone(),
                Err(at) => self.processors.insert(at, u.clone()),
            }
        }
        self.removals.extend(update.removals.iter().filter(|g| g.version > self.version).cloned());
        self.version = update.version;
        self.listed |= update.listed;
        self.prune_removals();
        true
    }
}
