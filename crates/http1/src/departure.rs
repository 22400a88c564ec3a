//! Whether the client of a request has left before it got its answer.

use tokio::sync::watch;

/// Told to whoever handles a request of a server that watches its clients.
#[derive(Clone, Debug, Default)]
pub struct Departure {
    left: Option<watch::Receiver<bool>>,
}

/// The server's side of a [`Departure`].
pub(crate) struct DepartureSender(watch::Sender<bool>);

impl Departure {
    pub(crate) fn new() -> (DepartureSender, Departure) {
        let (sender, receiver) = watch::channel(false);
        (DepartureSender(sender), Departure { left: Some(receiver) })
    }

    /// Whether the client has closed its connection.
    pub fn has_left(&self) -> bool {
        self.left.as_ref().is_some_and(|left| *left.borrow())
    }

    /// Ends once the client has closed its connection; never where that is not watched.
    pub async fn left(&self) {
        if let Some(left) = &self.left
            && left.clone().wait_for(|left| *left).await.is_ok()
        {
            return;
        }
        std::future::pending().await
    }
}

impl DepartureSender {
    pub(crate) fn leave(&self) {
        self.0.send_replace(true);
    }
}
