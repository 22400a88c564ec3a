//! What is known of a request that came to no clear end, and who may send it again.

/// Whether a request that came to no clear end may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
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
pub enum Gap {
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
pub enum Class {
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
pub enum Again {
    /// Its owner, at once, to any processor.
    Owner,
    /// Its owner, after a pause that grows.
    OwnerLater,
    /// The front that has it, within its ration of repeats.
    Front,
    /// As `Front`, and within the route's tries.
    FrontTries,
    /// Nobody here: the client is told that it may have run, or that its time is over.
    Nobody,
}

impl Gap {
    pub fn verdict(self) -> Verdict {
        match self {
            Gap::NotSent | Gap::Refused | Gap::Busy => Verdict::NotRun,
            Gap::Lost | Gap::Silent => Verdict::MayHaveRun,
        }
    }

    /// The table of docs/design.md, "Notes on answers".
    pub fn again(self, class: Class) -> Again {
        match (class, self) {
            // Where it may have run, most processors have dropped it by the end of the pause.
            (Class::Message | Class::Sequenced | Class::Dedupes, Gap::NotSent | Gap::Refused) => Again::Owner,
            (Class::Message | Class::Sequenced | Class::Dedupes, _) => Again::OwnerLater,
            (Class::Safe | Class::Unsafe, Gap::NotSent | Gap::Refused | Gap::Busy) => Again::Front,
            (Class::Safe, Gap::Lost) => Again::FrontTries,
            (Class::Unsafe, Gap::Lost) | (Class::Safe | Class::Unsafe, Gap::Silent) => Again::Nobody,
        }
    }
}
