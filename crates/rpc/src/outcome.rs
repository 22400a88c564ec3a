//! What is known of a request that came to no clear end, and who may send it again.

/// Whether a request that came to no clear end may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// It never left, or the other side said that it did nothing.
    NotRun,
    /// It left, and nobody said what came of it.
    MayHaveRun,
    /// The other side did it.
    Ran,
}

/// How a send to a processor missed its answer. A reset, a close, half an answer or
/// one that names another is `Lost`, on a kept connection and on a new one: only the
/// processor's own word says that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryFailure {
    /// No byte of it was written: no connection, or none left.
    NotSent,
    /// Its processor says that it did not run.
    Refused,
    /// As `Refused`: over a rate, or while an earlier one of that id runs.
    Busy,
    /// Written, and no whole answer that is its own.
    Lost,
    /// As `Lost`, and the time that it had is over.
    Silent,
}

/// What a request is, as far as sending it again goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// An accepted message: delivered until it ended.
    Message,
    /// With an order key: the next of its key waits until it ended.
    Sequenced,
    /// Its service knows repeats by their id.
    Dedupes,
    /// A function's request that may run more than once.
    Safe,
    /// A function's request that runs at most once.
    Unsafe,
}

/// Who sends it again, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryOwner {
    /// Its owner, at once, to any processor.
    Owner,
    /// Its owner, after a pause that grows.
    OwnerLater,
    /// The front that has it, within its retry budget of repeats.
    Front,
    /// As `Front`, and within the route's tries.
    FrontTries,
    /// Nobody here: the client is told that it may have run, or that its time is over.
    Nobody,
}

impl DeliveryFailure {
    pub fn execution(self) -> ExecutionOutcome {
        match self {
            DeliveryFailure::NotSent | DeliveryFailure::Refused | DeliveryFailure::Busy => ExecutionOutcome::NotRun,
            DeliveryFailure::Lost | DeliveryFailure::Silent => ExecutionOutcome::MayHaveRun,
        }
    }

    /// The table of docs/design.md, "Notes on answers".
    pub fn again(self, class: RetrySafety) -> RetryOwner {
        match (class, self) {
            // Where it may have run, most processors have dropped it by the end of the pause.
            (
                RetrySafety::Message | RetrySafety::Sequenced | RetrySafety::Dedupes,
                DeliveryFailure::NotSent | DeliveryFailure::Refused,
            ) => RetryOwner::Owner,
            (RetrySafety::Message | RetrySafety::Sequenced | RetrySafety::Dedupes, _) => RetryOwner::OwnerLater,
            (
                RetrySafety::Safe | RetrySafety::Unsafe,
                DeliveryFailure::NotSent | DeliveryFailure::Refused | DeliveryFailure::Busy,
            ) => RetryOwner::Front,
            (RetrySafety::Safe, DeliveryFailure::Lost) => RetryOwner::FrontTries,
            (RetrySafety::Unsafe, DeliveryFailure::Lost)
            | (RetrySafety::Safe | RetrySafety::Unsafe, DeliveryFailure::Silent) => RetryOwner::Nobody,
        }
    }
}
