//! Tells a request handler that the client closed its connection before it got the response.

use tokio::sync::watch;

/// The state of the connection of a request, for its handler. It is watched only with
/// [`ClientWatch::On`](crate::ClientWatch::On).
#[derive(Clone, Debug, Default)]
pub struct ClientConnection {
    closed: Option<watch::Receiver<bool>>,
}

/// The server's side of a [`ClientConnection`].
pub(crate) struct ClientConnectionSender(watch::Sender<bool>);

impl ClientConnection {
    pub(crate) fn new() -> (ClientConnectionSender, ClientConnection) {
        let (sender, receiver) = watch::channel(false);
        (ClientConnectionSender(sender), ClientConnection { closed: Some(receiver) })
    }

    /// Whether the client has closed its connection.
    pub fn is_closed(&self) -> bool {
        self.closed.as_ref().is_some_and(|closed| *closed.borrow())
    }

    /// Completes once the client has closed its connection; never, if that is not watched.
    pub async fn closed(&self) {
        if let Some(closed) = &self.closed
            && closed.clone().wait_for(|closed| *closed).await.is_ok()
        {
            return;
        }
        std::future::pending().await
    }
}

impl ClientConnectionSender {
    pub(crate) fn set_closed(&self) {
        self.0.send_replace(true);
    }
}
