//! Test clients that send messages and record the responses.

use crate::http::{PersistentConnection, Response, exchange};
use std::time::{Duration, Instant};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The body of messages whose `body` is empty.
const DEFAULT_BODY: &str = "body";

/// One message to send.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The message id, sent as `X-Attempt-Id`.
    pub id: String,
    /// The request path, under the route's prefix.
    pub path: String,
    /// The order key; empty on routes that do not keep order.
    pub order_key: String,
    /// The tenant's key; empty if no tenants are configured.
    pub tenant_key: String,
    /// The operation key; empty to send none.
    pub operation_key: String,
    /// The delay before delivery.
    pub delay: Duration,
    /// The message body; if empty, a fixed default is sent.
    pub body: String,
}

/// A sent message and its response.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The message that was sent.
    pub message: Message,
    /// When the client started to send it.
    pub sent: Instant,
    /// When the response was complete, or the attempt had failed.
    pub answered: Instant,
    /// The response status; 0 if there was no response.
    pub status: u16,
    /// The name under which the message's state is queried, from a 202 response.
    pub name: String,
    /// Whether the response had a `Retry-After` header.
    pub retry_after: bool,
}

/// The host of all routes in soak tests.
pub const HOST: &str = "soak.example";

fn authorization(tenant_key: &str) -> String {
    if tenant_key.is_empty() { String::new() } else { format!("Authorization: Bearer {tenant_key}\r\n") }
}

/// The line of a header; empty if the value is empty.
fn header_line(name: &str, value: &str) -> String {
    if value.is_empty() { String::new() } else { format!("{name}: {value}\r\n") }
}

fn format_request(message: &Message, connection: &str) -> String {
    let body = if message.body.is_empty() { DEFAULT_BODY } else { &message.body };
    let delay = if message.delay.is_zero() { String::new() } else { message.delay.as_millis().to_string() };
    format!(
        "POST {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\n{}{}{}{}Content-Length: {}\r\n{connection}\r\n{body}",
        message.path,
        message.id,
        header_line("X-Delay-Ms", &delay),
        header_line("X-Order-Key", &message.order_key),
        header_line("X-Operation-Key", &message.operation_key),
        authorization(&message.tenant_key),
        body.len(),
    )
}

fn record_response(message: Message, sent: Instant, response: Option<&Response>) -> Sent {
    let header = |name: &str| response.and_then(|response| response.header(name)).map(|value| value.trim().to_owned());
    Sent {
        name: header("X-Message-Name").unwrap_or_default(),
        retry_after: header("Retry-After").is_some(),
        status: response.map_or(0, |response| response.status),
        message,
        sent,
        answered: Instant::now(),
    }
}

/// Sends a message to a front on a new connection.
pub fn send(front: &str, message: Message) -> Sent {
    let sent = Instant::now();
    let response = exchange(front, &format_request(&message, "Connection: close\r\n"), RESPONSE_TIMEOUT);
    record_response(message, sent, response.as_ref())
}

/// A client that reuses its connection until the connection is closed.
pub struct PersistentClient {
    front: String,
    connection: Option<PersistentConnection>,
}

impl PersistentClient {
    /// Creates a client of a front; the connection is opened with the first message.
    pub fn new(front: &str) -> PersistentClient {
        PersistentClient { front: front.to_owned(), connection: None }
    }

    /// Sends a message to its front.
    pub fn send(&mut self, message: Message) -> Sent {
        let sent = Instant::now();
        let mut connection =
            self.connection.take().or_else(|| PersistentConnection::open(&self.front, RESPONSE_TIMEOUT));
        let response = connection.as_mut().and_then(|connection| connection.exchange(&format_request(&message, "")));
        let is_reusable = response.as_ref().is_some_and(|response| response.header("Connection").is_none());
        self.connection = connection.filter(|_| is_reusable);
        record_response(message, sent, response.as_ref())
    }
}

/// Whether the front reports the message as settled.
pub fn is_settled(front: &str, sent: &Sent) -> bool {
    let request = format!(
        "GET /message/{} HTTP/1.1\r\nHost: {HOST}\r\n{}Connection: close\r\n\r\n",
        sent.name,
        authorization(&sent.message.tenant_key),
    );
    exchange(front, &request, RESPONSE_TIMEOUT).is_some_and(|response| response.body.contains("\"settled\""))
}
