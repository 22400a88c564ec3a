//! Calls to the current owner of a partition on behalf of one request.

use crate::ingest::FrontService;
use agent::ClusterView;
use http1::Closing;
use rpc::messages::{AcceptOutcome, Accepted};
use rpc::{Body, ExecutionOutcome};
use std::time::Duration;
use tokio::sync::watch;

/// An owner that has answered nothing for `quietMs` divided by this counts as unresponsive. The outcome
/// of calls sent to it before that is unclear, so the time is as short as a commit across regions on a
/// slow disk allows.
const OWNER_TIMEOUT_DIVISOR: f64 = 40.0;

/// The owner of a partition and the address of its RPC listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OwnerAddress {
    pub(crate) term: u64,
    pub(crate) name: String,
    /// RPC address.
    pub(crate) inner: String,
}

impl OwnerAddress {
    /// The owner of a partition according to a view; `None` while it is unknown.
    pub(crate) fn of(view: &ClusterView, partition: u32) -> Option<OwnerAddress> {
        let partition = view.assignments.partitions.iter().find(|p| p.id == partition)?;
        let node = view.node(&partition.owner, "store")?;
        Some(OwnerAddress { term: partition.term, name: node.name.clone(), inner: node.inner.clone() })
    }
}

/// The owner's answer to a call, or why there is none.
#[derive(Debug)]
pub(crate) enum OwnerAnswer {
    /// The owner answered with an outcome other than `Unclear`.
    Answered(AcceptOutcome, Accepted),
    /// The call was not executed.
    NotSent,
    /// The owner has stated that it accepts no frame of this length; nothing was sent.
    TooLong {
        /// The longest body that it accepts, in bytes.
        limit_bytes: u64,
    },
    /// The call may have been executed.
    Unclear,
    /// No store node answers, so none can take over the partition.
    NoStoreAnswers,
}

impl OwnerAnswer {
    /// The counter of retries with this cause; `None` for causes without a counter.
    pub(crate) fn retry_counter(&self) -> Option<&'static str> {
        match self {
            OwnerAnswer::Answered(AcceptOutcome::Elsewhere, _) => Some("accepts_again_elsewhere"),
            OwnerAnswer::NotSent => Some("accepts_again_not_sent"),
            OwnerAnswer::Unclear => Some("accepts_again_unclear"),
            OwnerAnswer::Answered(..) | OwnerAnswer::TooLong { .. } | OwnerAnswer::NoStoreAnswers => None,
        }
    }
}

/// Calls to owners for one client request.
pub(crate) struct OwnerCalls<'a> {
    front: &'a FrontService,
    view: watch::Receiver<ClusterView>,
    closing: watch::Receiver<Closing>,
    /// The owner named by the node that was called last.
    hint: Option<String>,
}

impl<'a> OwnerCalls<'a> {
    pub(crate) fn new(front: &'a FrontService) -> OwnerCalls<'a> {
        OwnerCalls { front, view: front.view.subscribe(), closing: front.closing.subscribe(), hint: None }
    }

    /// Whether the process is about to exit, so that the request must be answered at once.
    pub(crate) fn is_ending(&mut self) -> bool {
        *self.closing.borrow_and_update() == Closing::Ending
    }

    /// Returns the newest view.
    pub(crate) fn view(&mut self) -> ClusterView {
        self.view.borrow_and_update().clone()
    }

    /// Whether the last answer named the owner to call next.
    pub(crate) fn has_hint(&self) -> bool {
        self.hint.is_some()
    }

    /// Discards the hint, for calls to another partition.
    pub(crate) fn forget_hint(&mut self) {
        self.hint = None;
    }

    /// Calls the owner of a partition. `is_unclear` says that an earlier call of this request may have
    /// been executed.
    pub(crate) async fn call(
        &mut self,
        partition: u32,
        body: Body,
        remaining: Duration,
        is_unclear: bool,
    ) -> OwnerAnswer {
        let view = self.view();
        let owner = OwnerAddress::of(&view, partition);
        let hinted = self.hint.take().and_then(|name| view.node(&name, "store").map(|node| node.inner.clone()));
        let Some(address) = hinted.or_else(|| owner.as_ref().map(|owner| owner.inner.clone())) else {
            return OwnerAnswer::NotSent;
        };
        let client = self.front.rpc_clients.to(&address);
        if client.is_unresponsive(self.front.owner_timeout()) {
            // No call is sent to an unresponsive owner, since its outcome would be unclear.
            if !is_unclear && self.front.no_store_answers(&view) {
                return OwnerAnswer::NoStoreAnswers;
            }
            tokio::time::sleep(self.front.quiet_fraction(100.0)).await;
            return OwnerAnswer::NotSent;
        }
        let owner_changed = self.view.wait_for(|view| OwnerAddress::of(view, partition) != owner);
        // A healthy owner answers within this time.
        let grace = self.front.quiet_fraction(100.0);
        let ending = async {
            let _ = self.closing.wait_for(|closing| *closing == Closing::Ending).await;
            tokio::time::sleep(grace).await;
        };
        let body_bytes = message_bytes(&body);
        let answer = tokio::select! {
            answer = client.call(body, remaining) => answer,
            _ = owner_changed => Err(ExecutionOutcome::MayHaveRun),
            _ = ending => Err(ExecutionOutcome::MayHaveRun),
        };
        if answer == Err(ExecutionOutcome::NotRun)
            && let Some(limit) = client.stated_limit()
            && body_bytes + rpc::ENVELOPE_MARGIN > rpc::max_record_bytes(limit)
        {
            return OwnerAnswer::TooLong { limit_bytes: rpc::max_body_bytes(limit) as u64 };
        }
        self.answer_of(answer)
    }

    /// Maps the result of a call to an answer, and remembers the owner that it names.
    fn answer_of(&mut self, answer: Result<Body, ExecutionOutcome>) -> OwnerAnswer {
        match answer {
            Ok(Body::Accepted(accepted)) => match AcceptOutcome::try_from(accepted.outcome) {
                Ok(AcceptOutcome::Unclear) | Err(_) => OwnerAnswer::Unclear,
                Ok(outcome) => {
                    if outcome == AcceptOutcome::Elsewhere && !accepted.owner.is_empty() {
                        self.hint = Some(accepted.owner.clone());
                    }
                    OwnerAnswer::Answered(outcome, accepted)
                }
            },
            Err(ExecutionOutcome::NotRun) => OwnerAnswer::NotSent,
            _ => OwnerAnswer::Unclear,
        }
    }
}

/// Length of the message body that a call carries.
fn message_bytes(body: &Body) -> usize {
    match body {
        Body::Accept(accept) => accept.item.body.len(),
        _ => 0,
    }
}

impl FrontService {
    /// No new calls are sent to an owner that has answered nothing for this long.
    fn owner_timeout(&self) -> Duration {
        self.quiet_fraction(OWNER_TIMEOUT_DIVISOR)
    }

    /// Whether all store nodes are unresponsive.
    fn no_store_answers(&self, view: &ClusterView) -> bool {
        let mut stores = view.membership.nodes.iter().filter(|node| node.role == "store").peekable();
        stores.peek().is_some()
            && stores.all(|node| self.rpc_clients.to(&node.inner).is_unresponsive(self.owner_timeout()))
    }
}
