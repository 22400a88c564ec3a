//! Accepts that are written and not committed yet, so that another try at one waits for it
//! in place of being written a second time. Only this process knows them: what a former owner
//! wrote is found by the fold.

use crate::scheduler::Key;
use rpc::messages::{Item, OperationId};
use std::collections::HashMap;

/// By what another try at a message is known.
#[derive(Clone, Debug)]
pub struct AcceptNames {
    tenant: String,
    id: String,
    operation: Option<OperationId>,
}

impl AcceptNames {
    /// Those of a message.
    pub fn of(item: &Item) -> AcceptNames {
        AcceptNames { tenant: item.tenant.clone(), id: item.id.clone(), operation: item.operation }
    }
}

/// The accepts of all partitions that are not committed yet.
#[derive(Debug, Default)]
pub struct UncommittedAccepts {
    names: HashMap<Key, AcceptNames>,
    /// By partition, tenant and id.
    ids: HashMap<(u32, String, String), u64>,
    operations: HashMap<(u32, OperationId), u64>,
}

impl UncommittedAccepts {
    /// The accept that a message would repeat.
    pub fn find(&self, partition: u32, item: &Item) -> Option<Key> {
        let by_id = self.ids.get(&(partition, item.tenant.clone(), item.id.clone()));
        let by_operation = || self.find_operation(partition, item.operation?);
        by_id.map(|position| (partition, *position)).or_else(by_operation)
    }

    /// The accept that keeps an operation.
    pub fn find_operation(&self, partition: u32, operation: OperationId) -> Option<Key> {
        self.operations.get(&(partition, operation)).map(|position| (partition, *position))
    }

    /// Takes in what was written.
    pub fn insert(&mut self, key: Key, names: AcceptNames) {
        let (partition, position) = key;
        self.ids.insert((partition, names.tenant.clone(), names.id.clone()), position);
        if let Some(operation) = names.operation {
            self.operations.insert((partition, operation), position);
        }
        self.names.insert(key, names);
    }

    /// It is committed, as a message or as a repeat of one.
    pub fn forget(&mut self, key: Key) {
        let Some(names) = self.names.remove(&key) else { return };
        self.ids.remove(&(key.0, names.tenant, names.id));
        if let Some(operation) = names.operation {
            self.operations.remove(&(key.0, operation));
        }
    }

    /// This node does not own the partition any more.
    pub fn forget_partition(&mut self, partition: u32) {
        let gone: Vec<Key> = self.names.keys().filter(|key| key.0 == partition).copied().collect();
        for key in gone {
            self.forget(key);
        }
    }
}
