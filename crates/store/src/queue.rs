//! Queues of messages that the same processors may run.

use config::{ConfigurationIndex, Homes};
use rpc::messages::Item;

/// Messages that the same processors may run wait in one queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct QueueId {
    /// The service's name.
    pub service: String,
    /// The regions in which they may be run.
    pub homes: Homes,
}

impl QueueId {
    /// The queue of messages for a service that are bound to no region.
    pub fn unbound(service: &str) -> QueueId {
        QueueId { service: service.to_owned(), homes: Homes::default() }
    }

    /// The queue that a message waits in by a configuration; `None` if that has no such route, or
    /// another one of that name.
    pub fn of(configuration: &ConfigurationIndex, item: &Item) -> Option<QueueId> {
        let route = configuration.route_covering(&item.route, &item.host, &item.path)?;
        let service = agent::service_of(route, &item.id).to_owned();
        Some(QueueId { service, homes: configuration.homes(route, &item.tenant) })
    }
}
