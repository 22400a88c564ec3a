//! Outcomes of requests without a definite answer, and who may retry them.

/// Whether a request without a definite answer may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// It was never sent, or the peer reported that it did not execute it.
    NotRun,
    /// It was sent and its result is unknown.
    MayHaveRun,
    /// The peer executed it.
    Ran,
}

/// Why a delivery to a processor got no usable answer. A reset, a close, a partial answer or an
/// answer to another request counts as `Lost`, on a reused connection as on a new one: only an
/// explicit statement of the processor proves that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryFailure {
    /// No byte of the request was written: no connection could be made or none was available.
    NotSent,
    /// The processor answered that it did not run the request.
    Refused,
    /// As `Refused`, because of a rate limit or because an earlier request with the same id is
    /// still running.
    Busy,
    /// The request was written, but no complete answer to it was received.
    Lost,
    /// As `Lost`, and the request's time limit has expired.
    Silent,
}

/// Classes of requests by the retries that they allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// An accepted message: delivery is retried until the message is finished.
    Message,
    /// A message with an order key: the next message of the key waits until this one is finished.
    Sequenced,
    /// A message of a service that deduplicates requests by id.
    Dedupes,
    /// A function request that may run more than once.
    Safe,
    /// A function request that must run at most once.
    Unsafe,
}

/// Who retries a request, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryOwner {
    /// The owner of the message, at once, on any processor.
    Owner,
    /// The owner of the message, after an increasing back-off.
    OwnerLater,
    /// The front that holds the request, within its retry budget.
    Front,
    /// As `Front`, and within the route's limit on attempts.
    FrontTries,
    /// No retry: the client is told that the request may have run or that its time limit expired.
    Nobody,
}

impl DeliveryFailure {
    pub fn execution(self) -> ExecutionOutcome {
        match self {
            DeliveryFailure::NotSent | DeliveryFailure::Refused | DeliveryFailure::Busy => ExecutionOutcome::NotRun,
            DeliveryFailure::Lost | DeliveryFailure::Silent => ExecutionOutcome::MayHaveRun,
        }
    }

    /// Implements the table in docs/design.md, "Notes on answers".
    pub fn retry_owner(self, class: RetrySafety) -> RetryOwner {
        match (class, self) {
            // If the request may have run, most processors have dropped it by the end of the
            // back-off.
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
