//! Identifies the scheduler's delivery queues.

use config::{ConfigurationIndex, Homes};
use rpc::messages::Item;

/// Identifies a delivery queue: messages that the same set of processors may run share one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct QueueId {
    pub service: String,
    /// The regions in which the messages may be run.
    pub homes: Homes,
}

impl QueueId {
    /// The queue for messages of a service that are not bound to any region.
    pub fn unbound(service: &str) -> QueueId {
        QueueId { service: service.to_owned(), homes: Homes::default() }
    }

    /// The queue of a message under the given configuration. `None` if the configuration has no
    /// route of that name, or if the route of that name no longer covers the message.
    pub fn of(configuration: &ConfigurationIndex, item: &Item) -> Option<QueueId> {
        let route = configuration.route_covering(&item.route, &item.host, &item.path)?;
        let service = agent::service_of(route, &item.id).to_owned();
        Some(QueueId { service, homes: configuration.homes(route, &item.tenant) })
    }
}
