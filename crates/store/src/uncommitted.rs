//! Index of accepts that are appended but not committed yet: a retry waits for the pending accept
//! instead of being appended a second time. It only covers this process; repeats of what a former
//! owner appended are detected when the record is applied.

use crate::scheduler::MessageKey;
use rpc::messages::{Item, OperationId};
use std::collections::HashMap;

/// The fields by which a retry of an accept is recognised.
#[derive(Clone, Debug)]
pub struct AcceptIdentity {
    tenant: String,
    id: String,
    operation: Option<OperationId>,
}

impl AcceptIdentity {
    pub fn of(item: &Item) -> AcceptIdentity {
        AcceptIdentity { tenant: item.tenant.clone(), id: item.id.clone(), operation: item.operation }
    }
}

/// The uncommitted accepts of all partitions.
#[derive(Debug, Default)]
pub struct UncommittedAccepts {
    identities: HashMap<MessageKey, AcceptIdentity>,
    /// Log positions by partition, tenant and id.
    ids: HashMap<(u32, String, String), u64>,
    operations: HashMap<(u32, OperationId), u64>,
}

impl UncommittedAccepts {
    /// The uncommitted accept that this message is a retry of.
    pub fn find(&self, partition: u32, item: &Item) -> Option<MessageKey> {
        let by_id = self.ids.get(&(partition, item.tenant.clone(), item.id.clone()));
        let by_operation = || self.find_operation(partition, item.operation?);
        by_id.map(|position| (partition, *position)).or_else(by_operation)
    }

    /// The uncommitted accept with the given operation.
    pub fn find_operation(&self, partition: u32, operation: OperationId) -> Option<MessageKey> {
        self.operations.get(&(partition, operation)).map(|position| (partition, *position))
    }

    /// Adds an accept that was appended.
    pub fn insert(&mut self, key: MessageKey, identity: AcceptIdentity) {
        let (partition, position) = key;
        self.ids.insert((partition, identity.tenant.clone(), identity.id.clone()), position);
        if let Some(operation) = identity.operation {
            self.operations.insert((partition, operation), position);
        }
        self.identities.insert(key, identity);
    }

    /// Removes an accept that was committed, as a new message or as a repeat of one.
    pub fn remove(&mut self, key: MessageKey) {
        let Some(identity) = self.identities.remove(&key) else { return };
        self.ids.remove(&(key.0, identity.tenant, identity.id));
        if let Some(operation) = identity.operation {
            self.operations.remove(&(key.0, operation));
        }
    }

    /// Removes all accepts of a partition that this node no longer owns.
    pub fn remove_partition(&mut self, partition: u32) {
        let gone: Vec<MessageKey> = self.identities.keys().filter(|key| key.0 == partition).copied().collect();
        for key in gone {
            self.remove(key);
        }
    }
}
