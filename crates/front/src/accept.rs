//! Taking a message in: finds the partition that is to keep it, and has its owner write it.
//!
//! Invariant (docs/design/tenants.md): a message with an operation key is written only where the
//! operation's directory has placed the operation, or by the directory's partition itself.

use crate::ingest::{FrontService, fault};
use crate::owner_calls::{OwnerAnswer, OwnerCalls};
use crate::submission::Submission;
use agent::operation_directory;
use http1::{Reply, Request};
use rpc::Body;
use rpc::messages::{Accept, AcceptOutcome, Accepted, OperationId, PlaceOperation};

/// Where a message is to be written, or what is answered in place of that.
enum Placement {
    /// In this partition.
    Partition(u32),
    /// The operation is kept already.
    Kept { partition: u32, position: u64 },
    /// It can't be taken now; nothing was written.
    Refused(Reply),
}

/// The answer to whoever sent a message that is kept.
fn taken(partition: u32, position: u64) -> Reply {
    Reply::new(202).with("X-Message-Name", format!("{partition}-{position}"))
}

fn unavailable(why: &str) -> Reply {
    fault(503, why).with("Retry-After", "1")
}

impl FrontService {
    /// Takes in one message; the answer says no more than is known.
    pub async fn take(&self, request: Request) -> Reply {
        let submission = match self.submission_of(&request) {
            Ok(submission) => submission,
            Err(refusal) => return *refusal,
        };
        let Some(wanted) = submission.partition(&submission.view, &self.settings.zone) else {
            return unavailable("no owner of a partition for it yet");
        };
        let mut calls = OwnerCalls::new(self);
        let partition = match self.place(&submission, wanted, &mut calls).await {
            Placement::Partition(partition) => partition,
            Placement::Kept { partition, position } => return taken(partition, position),
            Placement::Refused(refusal) => return refusal,
        };
        self.write(&submission, partition, &mut calls).await
    }

    /// Where a message is to be written that belongs to the `wanted` partition.
    async fn place(&self, submission: &Submission, wanted: u32, calls: &mut OwnerCalls<'_>) -> Placement {
        let Some(operation) = submission.item.operation else { return Placement::Partition(wanted) };
        let Some(directory) = operation_directory(&submission.view.assignments, &operation) else {
            return Placement::Refused(unavailable("no owner of a partition for it yet"));
        };
        self.follow_placements(submission, operation, directory, Some(wanted), calls).await
    }

    /// Follows an operation from one partition that may know of it to the next, until one keeps
    /// it or the `wanted` one is reached; without that this is a question alone.
    async fn follow_placements(
        &self,
        submission: &Submission,
        operation: OperationId,
        first: u32,
        wanted: Option<u32>,
        calls: &mut OwnerCalls<'_>,
    ) -> Placement {
        let mut visited = vec![first];
        let mut partition = first;
        while wanted != Some(partition) {
            let left = submission.left(false);
            if left.is_zero() || calls.is_ending() {
                break;
            }
            let request = PlaceOperation { partition, operation, wanted, rank: submission.rank };
            match calls.ask(partition, Body::PlaceOperation(request), left, false).await {
                OwnerAnswer::NoStoreAnswers => {
                    telemetry::count("refused_no_store");
                    break;
                }
                OwnerAnswer::Answered(AcceptOutcome::Taken, Accepted { position, .. }) => {
                    return Placement::Kept { partition, position };
                }
                OwnerAnswer::Answered(AcceptOutcome::PlacedElsewhere, Accepted { partition: next, .. }) => {
                    if visited.contains(&next) {
                        telemetry::count("placements_in_a_circle");
                        return Placement::Refused(unavailable("its operation is being placed"));
                    }
                    calls.forget_hint();
                    visited.push(next);
                    partition = next;
                    continue;
                }
                OwnerAnswer::Answered(AcceptOutcome::NotKnown, _) => {
                    return Placement::Refused(unavailable("its operation is being placed"));
                }
                OwnerAnswer::Answered(AcceptOutcome::Full, _) => {
                    telemetry::count("refused_full");
                    return Placement::Refused(unavailable("no room"));
                }
                // What may have been placed is placed the same once more.
                _ => telemetry::count("placements_again"),
            }
            tokio::time::sleep(self.ratio(400.0).min(left)).await;
        }
        if wanted == Some(partition) {
            calls.forget_hint();
            return Placement::Partition(partition);
        }
        telemetry::count("answers_503");
        Placement::Refused(unavailable("no owner can take it now"))
    }

    /// Has the owner of a partition write a message.
    async fn write(&self, submission: &Submission, partition: u32, calls: &mut OwnerCalls<'_>) -> Reply {
        let (mut partition, mut is_unclear) = (partition, false);
        loop {
            let left = submission.left(is_unclear);
            if left.is_zero() || calls.is_ending() {
                break;
            }
            if !is_unclear && !submission.is_place_fixed && !calls.has_hint() {
                // Nothing was written: another owner near by may do as well.
                let view = calls.view();
                partition = submission.partition(&view, &self.settings.zone).unwrap_or(partition);
            }
            let accept = Accept {
                partition,
                item: submission.item.clone(),
                revision: submission.view.configuration.revision,
                delay_ms: submission.delay_left_ms(),
            };
            match calls.ask(partition, Body::Accept(accept), left, is_unclear).await {
                OwnerAnswer::Answered(AcceptOutcome::Taken, accepted) => return taken(partition, accepted.position),
                OwnerAnswer::Answered(AcceptOutcome::PlacedElsewhere, accepted) => {
                    return self.find_placed(submission, accepted.partition, is_unclear, calls).await;
                }
                OwnerAnswer::Answered(outcome, accepted) => {
                    if let Some(refusal) = refusal_of(outcome, &accepted).filter(|_| !is_unclear) {
                        return refusal;
                    }
                }
                OwnerAnswer::Unclear => is_unclear = true,
                OwnerAnswer::NotSent => {}
                OwnerAnswer::NoStoreAnswers => {
                    telemetry::count("refused_no_store");
                    break;
                }
            }
            telemetry::count("accepts_again");
            tokio::time::sleep(self.ratio(400.0).min(left)).await;
        }
        given_up(is_unclear)
    }

    /// Answers for a message whose operation was placed elsewhere while it was on its way: with
    /// the name of what is kept there, if it is.
    async fn find_placed(
        &self,
        submission: &Submission,
        partition: u32,
        is_unclear: bool,
        calls: &mut OwnerCalls<'_>,
    ) -> Reply {
        let Some(operation) = submission.item.operation else { return given_up(is_unclear) };
        calls.forget_hint();
        match self.follow_placements(submission, operation, partition, None, calls).await {
            Placement::Kept { partition, position } => taken(partition, position),
            Placement::Refused(refusal) if !is_unclear => refusal,
            _ => given_up(is_unclear),
        }
    }
}

/// The answer to a message that its owner refuses for good; `None` where it may be asked again.
fn refusal_of(outcome: AcceptOutcome, accepted: &Accepted) -> Option<Reply> {
    match outcome {
        AcceptOutcome::Full => {
            telemetry::count("refused_full");
            Some(unavailable("no room"))
        }
        AcceptOutcome::OverQuota => {
            telemetry::count("refused_quota");
            let retry_s = u64::from(accepted.retry_ms).div_ceil(1000).max(1);
            let refusal = fault(429, "the tenant has no more of its limit now");
            Some(refusal.with("Retry-After", retry_s.to_string()))
        }
        AcceptOutcome::NoRoute => Some(fault(404, "no such route")),
        _ => None,
    }
}

/// The answer when the time for a message is over.
fn given_up(is_unclear: bool) -> Reply {
    if is_unclear {
        telemetry::count("answers_504");
        return fault(504, "it may have been taken");
    }
    telemetry::count("answers_503");
    unavailable("no owner can take it now")
}
