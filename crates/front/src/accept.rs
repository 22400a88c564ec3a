//! Accepts messages: resolves the partition that stores a message and asks its owner to commit it.
//!
//! Invariant (docs/design/tenants.md): a message with an operation key or an order key is written
//! only to the partition that the placements of these keys resolve to, or to the directory
//! partition itself.

use crate::ingest::{FrontService, fault, too_long};
use crate::owner_calls::{OwnerAnswer, OwnerCalls};
use crate::submission::Submission;
use agent::{may_be_kept_in, operation_directory, order_directory};
use http1::{Reply, Request};
use rpc::Body;
use rpc::messages::{Accept, AcceptOutcome, Accepted, Place, PlacementGenerations, PlacementSubject};
use std::time::Duration;

/// Maximum number of placements followed for one message.
const MAX_PLACEMENT_STEPS: usize = 12;
/// Fault text while no partition exists that may store the message.
const NO_PARTITION: &str = "no owner of a partition for it yet";

/// The first retry of a request waits `quietMs` divided by this.
const INITIAL_BACKOFF_DIVISOR: f64 = 400.0;
/// The delay between two attempts is at most `quietMs` divided by this.
const MAX_BACKOFF_DIVISOR: f64 = 64.0;

/// Result of following the placements of a subject.
enum Placement {
    /// The subject belongs to this partition, by a placement of this generation.
    Resolved { partition: u32, generation: u64 },
    /// A message of the operation is already stored.
    Stored { partition: u32, position: u64 },
    /// The message cannot be accepted now; nothing was written.
    Refused(Reply),
}

/// Where a message is to be written.
#[derive(Clone, Copy)]
struct Target {
    partition: u32,
    generations: PlacementGenerations,
}

/// Result of an attempt to write a message.
enum WriteOutcome {
    /// The reply to the client.
    Replied(Reply),
    /// Nothing was written: the order key or the operation is placed in another partition.
    Moved,
}

/// Traversal of the placements of a subject, from one partition to the next.
struct PlacementWalk<'a> {
    submission: &'a Submission,
    subject: PlacementSubject,
    partition: u32,
    generation: u64,
    /// The partition that the message belongs to; `None` for a query that places nothing.
    wanted: Option<u32>,
}

/// The reply to the client for a message that is stored.
fn accepted_reply(partition: u32, position: u64) -> Reply {
    Reply::new(202).with("X-Message-Name", format!("{partition}-{position}"))
}

fn unavailable(why: &str) -> Reply {
    fault(503, why).with("Retry-After", "1")
}

/// Exponential backoff between the attempts of one request: each delay is twice the previous one,
/// up to a limit, so that a partition that was unavailable for a while is not flooded with retries
/// once it is available again.
struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    /// Waits for the next delay, or for the remaining time of the request if that is shorter.
    async fn wait(&mut self, remaining: Duration) {
        tokio::time::sleep(self.next.min(remaining)).await;
        self.next = (self.next * 2).min(self.max);
    }
}

impl FrontService {
    fn backoff(&self) -> Backoff {
        Backoff { next: self.quiet_fraction(INITIAL_BACKOFF_DIVISOR), max: self.quiet_fraction(MAX_BACKOFF_DIVISOR) }
    }

    /// Accepts a message. The reply claims no more than is known: 504 if the message may have been
    /// written.
    pub async fn accept_message(&self, request: Request) -> Reply {
        let submission = match self.submission_of(&request) {
            Ok(submission) => submission,
            Err(refusal) => return *refusal,
        };
        let Some(wanted) = submission.partition(&submission.view, &self.settings.zone) else {
            return unavailable(NO_PARTITION);
        };
        let mut calls = OwnerCalls::new(self);
        let mut has_moved = false;
        for _ in 0..MAX_PLACEMENT_STEPS {
            let target = match self.place(&submission, wanted, has_moved, &mut calls).await {
                Ok(target) => target,
                Err(reply) => return reply,
            };
            match self.write(&submission, target, &mut calls).await {
                WriteOutcome::Replied(reply) => return reply,
                WriteOutcome::Moved => has_moved = true,
            }
        }
        timeout_reply(false)
    }

    /// Resolves where to write a message that belongs to the `wanted` partition. The order key is
    /// resolved first, since its pending messages decide the partition; the operation is then
    /// placed in that partition.
    async fn place(
        &self,
        submission: &Submission,
        wanted: u32,
        has_moved: bool,
        calls: &mut OwnerCalls<'_>,
    ) -> Result<Target, Reply> {
        let mut target = Target { partition: wanted, generations: PlacementGenerations::default() };
        let assignments = &submission.view.assignments;
        if let Some(order) = submission.item.order() {
            let directory = order_directory(assignments, &order);
            let walk = PlacementWalk::new(submission, PlacementSubject::Order(order), directory, target.partition)?;
            (target.partition, target.generations.order) = self.locate(walk, has_moved, calls).await?;
        }
        if let Some(operation) = submission.item.operation {
            let directory = operation_directory(assignments, &operation);
            let walk =
                PlacementWalk::new(submission, PlacementSubject::Operation(operation), directory, target.partition)?;
            (target.partition, target.generations.operation) = self.locate(walk, has_moved, calls).await?;
        }
        Ok(target)
    }

    /// Returns the partition that a subject's placements lead to and the generation of the last
    /// placement; otherwise the reply. If the subject belongs to its directory, no owner is asked
    /// unless the subject has moved.
    async fn locate(
        &self,
        walk: PlacementWalk<'_>,
        has_moved: bool,
        calls: &mut OwnerCalls<'_>,
    ) -> Result<(u32, u64), Reply> {
        if walk.wanted == Some(walk.partition) && !has_moved {
            return Ok((walk.partition, walk.generation));
        }
        match self.follow_placements(walk, calls).await {
            Placement::Resolved { partition, generation } => Ok((partition, generation)),
            Placement::Stored { partition, position } => Err(accepted_reply(partition, position)),
            Placement::Refused(refusal) => Err(refusal),
        }
    }

    /// Follows the placements of a subject from partition to partition, until one of them stores the
    /// subject or the wanted partition is reached.
    async fn follow_placements(&self, mut walk: PlacementWalk<'_>, calls: &mut OwnerCalls<'_>) -> Placement {
        let mut steps = 0;
        let mut backoff = self.backoff();
        loop {
            if steps > 0 && walk.wanted == Some(walk.partition) {
                return Placement::Resolved { partition: walk.partition, generation: walk.generation };
            }
            let remaining = walk.submission.remaining(false);
            if remaining.is_zero() || calls.is_ending() || steps >= MAX_PLACEMENT_STEPS {
                break;
            }
            let request = Place {
                partition: walk.partition,
                subject: Some(walk.subject.clone()),
                wanted: walk.wanted,
                rank: walk.submission.rank,
                generation: walk.generation,
                hold_ms: walk.submission.hold_ms,
            };
            match calls.call(walk.partition, Body::Place(request), remaining, false).await {
                OwnerAnswer::NoStoreAnswers => {
                    telemetry::count("refused_no_store");
                    break;
                }
                OwnerAnswer::Answered(AcceptOutcome::PlacedElsewhere, accepted) => {
                    calls.forget_hint();
                    steps += 1;
                    (walk.partition, walk.generation) = (accepted.partition, accepted.generation);
                    continue;
                }
                OwnerAnswer::Answered(outcome, accepted) => {
                    if let Some(placement) = walk.end(outcome, &accepted) {
                        calls.forget_hint();
                        return placement;
                    }
                }
                // If the placement was already written, repeating the request yields the same result.
                _ => {}
            }
            telemetry::count("placements_again");
            backoff.wait(remaining).await;
        }
        telemetry::count("answers_503");
        Placement::Refused(unavailable("no owner can take it now"))
    }

    /// Asks the owner of the target partition to write a message, and retries within the time budget.
    async fn write(&self, submission: &Submission, target: Target, calls: &mut OwnerCalls<'_>) -> WriteOutcome {
        let Target { mut partition, generations } = target;
        let mut is_unclear = false;
        let mut backoff = self.backoff();
        loop {
            let remaining = submission.remaining(is_unclear);
            if remaining.is_zero() || calls.is_ending() {
                break;
            }
            if !is_unclear && !submission.is_place_fixed && !calls.has_hint() {
                // Nothing was written yet, so a partition of another nearby owner may be used as well.
                let view = calls.view();
                partition = submission.partition(&view, &self.settings.zone).unwrap_or(partition);
            }
            let accept = Accept {
                partition,
                item: submission.item.clone(),
                revision: submission.view.configuration.revision,
                delay_ms: submission.remaining_delay_ms(),
                generations,
            };
            let answer = calls.call(partition, Body::Accept(accept), remaining, is_unclear).await;
            if let Some(cause) = answer.retry_counter() {
                telemetry::count(cause);
            }
            match answer {
                OwnerAnswer::Answered(AcceptOutcome::Taken, accepted) => {
                    return WriteOutcome::Replied(accepted_reply(partition, accepted.position));
                }
                OwnerAnswer::Answered(AcceptOutcome::PlacedElsewhere | AcceptOutcome::OrderPlacedElsewhere, _)
                    if !is_unclear =>
                {
                    calls.forget_hint();
                    return WriteOutcome::Moved;
                }
                OwnerAnswer::Answered(AcceptOutcome::PlacedElsewhere, accepted) => {
                    return WriteOutcome::Replied(self.reply_for_moved_operation(submission, &accepted, calls).await);
                }
                OwnerAnswer::Answered(outcome, accepted) => {
                    if let Some(refusal) = refusal_reply(outcome, &accepted).filter(|_| !is_unclear) {
                        return WriteOutcome::Replied(refusal);
                    }
                }
                OwnerAnswer::TooLong { limit_bytes } if !is_unclear => {
                    telemetry::count("refused_too_long");
                    return WriteOutcome::Replied(too_long(limit_bytes));
                }
                OwnerAnswer::TooLong { .. } => {}
                OwnerAnswer::Unclear => is_unclear = true,
                OwnerAnswer::NotSent => {}
                OwnerAnswer::NoStoreAnswers => {
                    telemetry::count("refused_no_store");
                    break;
                }
            }
            telemetry::count("accepts_again");
            if calls.has_hint() {
                // The next call goes to another node, which is likely to accept the message.
                backoff = self.backoff();
            }
            backoff.wait(remaining).await;
        }
        WriteOutcome::Replied(timeout_reply(is_unclear))
    }

    /// Returns the reply for a message that may have been written and whose operation is placed in
    /// another partition: the name of the message stored there, if there is one.
    async fn reply_for_moved_operation(
        &self,
        submission: &Submission,
        accepted: &Accepted,
        calls: &mut OwnerCalls<'_>,
    ) -> Reply {
        let Some(operation) = submission.item.operation else { return timeout_reply(true) };
        calls.forget_hint();
        let subject = PlacementSubject::Operation(operation);
        let Accepted { partition, generation, .. } = *accepted;
        let walk = PlacementWalk { submission, subject, partition, generation, wanted: None };
        match self.follow_placements(walk, calls).await {
            Placement::Stored { partition, position } => accepted_reply(partition, position),
            _ => timeout_reply(true),
        }
    }
}

impl<'a> PlacementWalk<'a> {
    /// Creates a walk that starts at the subject's directory partition.
    ///
    /// # Errors
    /// Returns the reply to send if the directory partition does not exist yet.
    fn new(
        submission: &'a Submission,
        subject: PlacementSubject,
        directory: Option<u32>,
        wanted: u32,
    ) -> Result<PlacementWalk<'a>, Reply> {
        let partition = directory.ok_or_else(|| unavailable(NO_PARTITION))?;
        Ok(PlacementWalk { submission, subject, partition, generation: 0, wanted: Some(wanted) })
    }

    /// Maps an owner's outcome to the result of the walk; `None` if the owner is to be asked again.
    fn end(&self, outcome: AcceptOutcome, accepted: &Accepted) -> Option<Placement> {
        let PlacementWalk { submission, partition, generation, .. } = *self;
        match outcome {
            AcceptOutcome::Taken => Some(Placement::Stored { partition, position: accepted.position }),
            AcceptOutcome::StaysHere => {
                if may_be_kept_in(&submission.view.assignments, &submission.homes, partition) {
                    return Some(Placement::Resolved { partition, generation });
                }
                telemetry::count("refused_order_elsewhere");
                Some(Placement::Refused(unavailable("messages of its order key are under way in another region")))
            }
            AcceptOutcome::NotKnown => Some(Placement::Refused(unavailable("its operation is being placed"))),
            AcceptOutcome::Full => {
                telemetry::count("refused_full");
                Some(Placement::Refused(unavailable("no room")))
            }
            _ => None,
        }
    }
}

/// The reply for an outcome that is not retried; `None` if the owner is to be asked again.
fn refusal_reply(outcome: AcceptOutcome, accepted: &Accepted) -> Option<Reply> {
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
        AcceptOutcome::TooLong => {
            telemetry::count("refused_too_long");
            Some(too_long(accepted.limit_bytes))
        }
        AcceptOutcome::NoRoute => Some(fault(404, "no such route")),
        _ => None,
    }
}

/// The reply when the time budget of a message is exhausted.
fn timeout_reply(is_unclear: bool) -> Reply {
    if is_unclear {
        telemetry::count("answers_504");
        return fault(504, "it may have been taken");
    }
    telemetry::count("answers_503");
    unavailable("no owner can take it now")
}
