//! Calls to the owner of a partition on behalf of one request, wherever the owner is by then.

use crate::ingest::FrontService;
use agent::ClusterView;
use http1::Closing;
use rpc::messages::{AcceptOutcome, Accepted};
use rpc::{Body, ExecutionOutcome};
use std::time::Duration;
use tokio::sync::watch;

/// The part of `quietMs` after which an owner that answers nothing counts as silent. What
/// was written to it before that is unclear, so it is as short as a commit across regions
/// on a slow disk allows.
const OWNER_SILENCE_PART: f64 = 40.0;

/// Where the owner of a partition takes calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OwnerAddress {
    pub(crate) term: u64,
    pub(crate) name: String,
    /// Its inner address.
    pub(crate) inner: String,
}

impl OwnerAddress {
    /// The owner of a partition as a view has it; `None` while it is not known.
    pub(crate) fn of(view: &ClusterView, partition: u32) -> Option<OwnerAddress> {
        let partition = view.assignments.partitions.iter().find(|p| p.id == partition)?;
        let node = view.node(&partition.owner, "store")?;
        Some(OwnerAddress { term: partition.term, name: node.name.clone(), inner: node.inner.clone() })
    }
}

/// What an owner said of a call, or why it said nothing.
#[derive(Debug)]
pub(crate) enum OwnerAnswer {
    /// Its word, with an outcome that is not `Unclear`.
    Answered(AcceptOutcome, Accepted),
    /// Nothing was done.
    NotSent,
    /// It may have done what it was asked.
    Unclear,
    /// None of the store nodes answers, so nobody is there to take over.
    NoStoreAnswers,
}

impl OwnerAnswer {
    /// The counter of what is tried again for this; `None` for an answer that ends the request.
    pub(crate) fn retry_counter(&self) -> Option<&'static str> {
        match self {
            OwnerAnswer::Answered(AcceptOutcome::Elsewhere, _) => Some("accepts_again_elsewhere"),
            OwnerAnswer::NotSent => Some("accepts_again_not_sent"),
            OwnerAnswer::Unclear => Some("accepts_again_unclear"),
            OwnerAnswer::Answered(..) | OwnerAnswer::NoStoreAnswers => None,
        }
    }
}

/// The calls for one request.
pub(crate) struct OwnerCalls<'a> {
    front: &'a FrontService,
    view: watch::Receiver<ClusterView>,
    closing: watch::Receiver<Closing>,
    /// The owner that the last node asked has named.
    hint: Option<String>,
}

impl<'a> OwnerCalls<'a> {
    pub(crate) fn new(front: &'a FrontService) -> OwnerCalls<'a> {
        OwnerCalls { front, view: front.view.subscribe(), closing: front.closing.subscribe(), hint: None }
    }

    /// Whether the process is about to end: what is known by now is the answer.
    pub(crate) fn is_ending(&mut self) -> bool {
        *self.closing.borrow_and_update() == Closing::Ending
    }

    /// The newest view.
    pub(crate) fn view(&mut self) -> ClusterView {
        self.view.borrow_and_update().clone()
    }

    /// Whether a node that was asked has named the owner to ask next.
    pub(crate) fn has_hint(&self) -> bool {
        self.hint.is_some()
    }

    /// Another partition is asked from now on.
    pub(crate) fn forget_hint(&mut self) {
        self.hint = None;
    }

    /// Asks the owner of a partition. `is_unclear`: an earlier call may have been carried out.
    pub(crate) async fn ask(&mut self, partition: u32, body: Body, left: Duration, is_unclear: bool) -> OwnerAnswer {
        let view = self.view();
        let owner = OwnerAddress::of(&view, partition);
        let hinted = self.hint.take().and_then(|name| view.node(&name, "store").map(|node| node.inner.clone()));
        let Some(address) = hinted.or_else(|| owner.as_ref().map(|owner| owner.inner.clone())) else {
            return OwnerAnswer::NotSent;
        };
        let client = self.front.rpc_clients.to(&address);
        if client.stuck(self.front.owner_silence()) {
            // Nothing is sent to where nothing is answered: it would be unclear what came of it.
            if !is_unclear && self.front.no_store_answers(&view) {
                return OwnerAnswer::NoStoreAnswers;
            }
            tokio::time::sleep(self.front.quiet_fraction(100.0)).await;
            return OwnerAnswer::NotSent;
        }
        let moved = self.view.wait_for(|view| OwnerAddress::of(view, partition) != owner);
        // An owner that is well answers within that.
        let patience = self.front.quiet_fraction(100.0);
        let ending = async {
            let _ = self.closing.wait_for(|closing| *closing == Closing::Ending).await;
            tokio::time::sleep(patience).await;
        };
        let answer = tokio::select! {
            answer = client.call(body, left) => answer,
            _ = moved => Err(ExecutionOutcome::MayHaveRun),
            _ = ending => Err(ExecutionOutcome::MayHaveRun),
        };
        self.answer_of(answer)
    }

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

impl FrontService {
    /// An owner that has answered nothing for so long is sent nothing new.
    fn owner_silence(&self) -> Duration {
        self.quiet_fraction(OWNER_SILENCE_PART)
    }

    /// Whether calls to each store node go unanswered.
    fn no_store_answers(&self, view: &ClusterView) -> bool {
        let mut stores = view.membership.nodes.iter().filter(|n| n.role == "store").peekable();
        stores.peek().is_some() && stores.all(|n| self.rpc_clients.to(&n.inner).stuck(self.owner_silence()))
    }
}
