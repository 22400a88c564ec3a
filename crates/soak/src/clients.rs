//! Stand-in clients: they send messages and note what they were answered.

use crate::http::{PersistentConnection, Response, exchange};
use std::time::{Duration, Instant};

/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// The body of messages that name none.
const USUAL_BODY: &str = "body";

/// One message to send.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Its id, as `X-Attempt-Id`.
    pub id: String,
    /// The path, below the route's prefix.
    pub path: String,
    /// Its order key; empty on routes without order.
    pub order_key: String,
    /// The tenant's key; empty where there are no tenants.
    pub tenant_key: String,
    /// The key of its operation; empty where operations have none.
    pub operation_key: String,
    /// How long it is not to run.
    pub delay: Duration,
    /// Its bytes; where empty, others that are the same for all messages.
    pub body: String,
}

/// What became of a send.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The message.
    pub message: Message,
    /// When its client began to send it.
    pub sent: Instant,
    /// When the answer was there.
    pub answered: Instant,
    /// The status; 0 without an answer.
    pub status: u16,
    /// The message's name, by which its state is asked for; of a 202.
    pub name: String,
    /// Whether `Retry-After` was told.
    pub retry_after: bool,
}

/// The host of all routes of a soak.
pub const HOST: &str = "soak.example";

fn authorization(tenant_key: &str) -> String {
    if tenant_key.is_empty() { String::new() } else { format!("Authorization: Bearer {tenant_key}\r\n") }
}

/// A header's line; none for an empty value.
fn header_line(name: &str, value: &str) -> String {
    if value.is_empty() { String::new() } else { format!("{name}: {value}\r\n") }
}

fn request_of(message: &Message, connection: &str) -> String {
    let body = if message.body.is_empty() { USUAL_BODY } else { &message.body };
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

fn sent_of(message: Message, sent: Instant, answer: Option<&Response>) -> Sent {
    let header = |name: &str| answer.and_then(|answer| answer.header(name)).map(|value| value.trim().to_owned());
    Sent {
        name: header("X-Message-Name").unwrap_or_default(),
        retry_after: header("Retry-After").is_some(),
        status: answer.map_or(0, |answer| answer.status),
        message,
        sent,
        answered: Instant::now(),
    }
}

/// Sends a message to a front, on a connection of its own.
pub fn send(front: &str, message: Message) -> Sent {
    let sent = Instant::now();
    let answer = exchange(front, &request_of(&message, "Connection: close\r\n"), PATIENCE);
    sent_of(message, sent, answer.as_ref())
}

/// A client that uses its connection until that is closed.
pub struct PersistentClient {
    front: String,
    connection: Option<PersistentConnection>,
}

impl PersistentClient {
    /// One of a front.
    pub fn new(front: &str) -> PersistentClient {
        PersistentClient { front: front.to_owned(), connection: None }
    }

    /// Sends a message to its front.
    pub fn send(&mut self, message: Message) -> Sent {
        let sent = Instant::now();
        let mut connection = self.connection.take().or_else(|| PersistentConnection::open(&self.front, PATIENCE));
        let answer = connection.as_mut().and_then(|connection| connection.exchange(&request_of(&message, "")));
        let is_kept = answer.as_ref().is_some_and(|answer| answer.header("Connection").is_none());
        self.connection = connection.filter(|_| is_kept);
        sent_of(message, sent, answer.as_ref())
    }
}

/// Whether a message is said to be settled.
pub fn is_settled(front: &str, sent: &Sent) -> bool {
    let request = format!(
        "GET /message/{} HTTP/1.1\r\nHost: {HOST}\r\n{}Connection: close\r\n\r\n",
        sent.name,
        authorization(&sent.message.tenant_key),
    );
    exchange(front, &request, PATIENCE).is_some_and(|answer| answer.body.contains("\"settled\""))
}
