//! Taking a message in: finds the partition that is to keep it, and has its owner write it.
//!
//! Invariant (docs/design/tenants.md): a message with an operation or order key is written only
//! where the placements of these have led, or by their directory's partition itself.

use crate::ingest::{FrontService, fault};
use crate::owner_calls::{OwnerAnswer, OwnerCalls};
use crate::submission::Submission;
use agent::{may_be_kept_in, operation_directory, order_directory};
use http1::{Reply, Request};
use rpc::Body;
use rpc::messages::{Accept, AcceptOutcome, Accepted, Place, PlacementGenerations, PlacementSubject};
use std::time::Duration;

/// The most placements that are followed for one message.
const PLACEMENT_STEPS: usize = 12;
/// Why a message is refused before there are partitions for it.
const NO_PARTITION: &str = "no owner of a partition for it yet";

/// The part of `quietMs` before a request is tried again for the first time.
const FIRST_PAUSE_PART: f64 = 400.0;
/// The part of `quietMs` that no pause between two tries exceeds.
const LONGEST_PAUSE_PART: f64 = 64.0;

/// Where the placements of a subject have led.
enum Placement {
    /// To this partition, by a placement of that generation.
    At { partition: u32, generation: u64 },
    /// The operation is kept already.
    Kept { partition: u32, position: u64 },
    /// The message can't be taken now; nothing was written.
    Refused(Reply),
}

/// Where a message is to be written.
#[derive(Clone, Copy)]
struct Target {
    partition: u32,
    generations: PlacementGenerations,
}

/// What came of an attempt to write a message.
enum Written {
    /// The answer to its client.
    Answered(Reply),
    /// Nothing was written: its order key or its operation is placed elsewhere.
    Moved,
}

/// A subject whose placements are followed.
struct Walk<'a> {
    submission: &'a Submission,
    subject: PlacementSubject,
    partition: u32,
    generation: u64,
    /// Where the message belongs; `None`: a question that places nothing.
    wanted: Option<u32>,
}

/// The answer to whoever sent a message that is kept.
fn taken(partition: u32, position: u64) -> Reply {
    Reply::new(202).with("X-Message-Name", format!("{partition}-{position}"))
}

fn unavailable(why: &str) -> Reply {
    fault(503, why).with("Retry-After", "1")
}

/// The pauses between the tries of one request: each is twice the former one, up to a limit, so
/// that a partition which can't take anything for a while is not flooded when it can.
struct RetryPause {
    next: Duration,
    longest: Duration,
}

impl RetryPause {
    /// Waits for the next pause, or for what is left of the request's time.
    async fn wait(&mut self, left: Duration) {
        tokio::time::sleep(self.next.min(left)).await;
        self.next = (self.next * 2).min(self.longest);
    }
}

impl FrontService {
    fn retry_pause(&self) -> RetryPause {
        RetryPause { next: self.ratio(FIRST_PAUSE_PART), longest: self.ratio(LONGEST_PAUSE_PART) }
    }

    /// Takes in one message; the answer says no more than is known.
    pub async fn take(&self, request: Request) -> Reply {
        let submission = match self.submission_of(&request) {
            Ok(submission) => submission,
            Err(refusal) => return *refusal,
        };
        let Some(wanted) = submission.partition(&submission.view, &self.settings.zone) else {
            return unavailable(NO_PARTITION);
        };
        let mut calls = OwnerCalls::new(self);
        let mut has_moved = false;
        for _ in 0..PLACEMENT_STEPS {
            let target = match self.place(&submission, wanted, has_moved, &mut calls).await {
                Ok(target) => target,
                Err(reply) => return reply,
            };
            match self.write(&submission, target, &mut calls).await {
                Written::Answered(reply) => return reply,
                Written::Moved => has_moved = true,
            }
        }
        given_up(false)
    }

    /// Where a message is to be written that belongs to the `wanted` partition: where messages of
    /// its order key are under way comes first, and its operation is then placed there.
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
            let walk = Walk::new(submission, PlacementSubject::Order(order), directory, target.partition)?;
            (target.partition, target.generations.order) = self.locate(walk, has_moved, calls).await?;
        }
        if let Some(operation) = submission.item.operation {
            let directory = operation_directory(assignments, &operation);
            let walk = Walk::new(submission, PlacementSubject::Operation(operation), directory, target.partition)?;
            (target.partition, target.generations.operation) = self.locate(walk, has_moved, calls).await?;
        }
        Ok(target)
    }

    /// The partition that a subject's placements lead to, with the generation of the last; else the
    /// answer. Where the subject belongs to its directory nothing is asked unless it has moved.
    async fn locate(&self, walk: Walk<'_>, has_moved: bool, calls: &mut OwnerCalls<'_>) -> Result<(u32, u64), Reply> {
        if walk.wanted == Some(walk.partition) && !has_moved {
            return Ok((walk.partition, walk.generation));
        }
        match self.follow_placements(walk, calls).await {
            Placement::At { partition, generation } => Ok((partition, generation)),
            Placement::Kept { partition, position } => Err(taken(partition, position)),
            Placement::Refused(refusal) => Err(refusal),
        }
    }

    /// Follows a subject from one partition that may know of it to the next, until one keeps it or
    /// the wanted one is reached.
    async fn follow_placements(&self, mut walk: Walk<'_>, calls: &mut OwnerCalls<'_>) -> Placement {
        let mut steps = 0;
        let mut pause = self.retry_pause();
        loop {
            if steps > 0 && walk.wanted == Some(walk.partition) {
                return Placement::At { partition: walk.partition, generation: walk.generation };
            }
            let left = walk.submission.left(false);
            if left.is_zero() || calls.is_ending() || steps >= PLACEMENT_STEPS {
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
            match calls.ask(walk.partition, Body::Place(request), left, false).await {
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
                // What may have been placed is placed the same once more.
                _ => {}
            }
            telemetry::count("placements_again");
            pause.wait(left).await;
        }
        telemetry::count("answers_503");
        Placement::Refused(unavailable("no owner can take it now"))
    }

    /// Has the owner of a partition write a message.
    async fn write(&self, submission: &Submission, target: Target, calls: &mut OwnerCalls<'_>) -> Written {
        let Target { mut partition, generations } = target;
        let mut is_unclear = false;
        let mut pause = self.retry_pause();
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
                generations,
            };
            let answer = calls.ask(partition, Body::Accept(accept), left, is_unclear).await;
            if let Some(cause) = answer.retry_counter() {
                telemetry::count(cause);
            }
            match answer {
                OwnerAnswer::Answered(AcceptOutcome::Taken, accepted) => {
                    return Written::Answered(taken(partition, accepted.position));
                }
                OwnerAnswer::Answered(AcceptOutcome::PlacedElsewhere | AcceptOutcome::OrderPlacedElsewhere, _)
                    if !is_unclear =>
                {
                    calls.forget_hint();
                    return Written::Moved;
                }
                OwnerAnswer::Answered(AcceptOutcome::PlacedElsewhere, accepted) => {
                    return Written::Answered(self.find_placed(submission, &accepted, calls).await);
                }
                OwnerAnswer::Answered(outcome, accepted) => {
                    if let Some(refusal) = refusal_of(outcome, &accepted).filter(|_| !is_unclear) {
                        return Written::Answered(refusal);
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
            if calls.has_hint() {
                // Another node is asked next, which may well take it.
                pause = self.retry_pause();
            }
            pause.wait(left).await;
        }
        Written::Answered(given_up(is_unclear))
    }

    /// Answers for a message that may have been written, and whose operation is placed elsewhere:
    /// with the name of what is kept there, if it is.
    async fn find_placed(&self, submission: &Submission, accepted: &Accepted, calls: &mut OwnerCalls<'_>) -> Reply {
        let Some(operation) = submission.item.operation else { return given_up(true) };
        calls.forget_hint();
        let subject = PlacementSubject::Operation(operation);
        let Accepted { partition, generation, .. } = *accepted;
        let walk = Walk { submission, subject, partition, generation, wanted: None };
        match self.follow_placements(walk, calls).await {
            Placement::Kept { partition, position } => taken(partition, position),
            _ => given_up(true),
        }
    }
}

impl<'a> Walk<'a> {
    /// One that begins at a subject's directory.
    ///
    /// # Errors
    /// The answer where there is no directory yet.
    fn new(
        submission: &'a Submission,
        subject: PlacementSubject,
        directory: Option<u32>,
        wanted: u32,
    ) -> Result<Walk<'a>, Reply> {
        let partition = directory.ok_or_else(|| unavailable(NO_PARTITION))?;
        Ok(Walk { submission, subject, partition, generation: 0, wanted: Some(wanted) })
    }

    /// Where the walk ends by an owner's word; `None` where it is to be asked again.
    fn end(&self, outcome: AcceptOutcome, accepted: &Accepted) -> Option<Placement> {
        let Walk { submission, partition, generation, .. } = *self;
        match outcome {
            AcceptOutcome::Taken => Some(Placement::Kept { partition, position: accepted.position }),
            AcceptOutcome::StaysHere => {
                if may_be_kept_in(&submission.view.assignments, &submission.homes, partition) {
                    return Some(Placement::At { partition, generation });
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
