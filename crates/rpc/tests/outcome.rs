//! Checks the complete retry table for requests without a usable answer.

use rpc::{DeliveryFailure, ExecutionOutcome, RetryOwner, RetrySafety};

#[test]
fn each_class_of_request_is_sent_again_as_the_table_says() {
    use RetryOwner::*;
    let failures = [
        DeliveryFailure::NotSent,
        DeliveryFailure::Refused,
        DeliveryFailure::Busy,
        DeliveryFailure::Lost,
        DeliveryFailure::Silent,
    ];
    let table = [
        (RetrySafety::Message, [Owner, Owner, OwnerLater, OwnerLater, OwnerLater]),
        (RetrySafety::Sequenced, [Owner, Owner, OwnerLater, OwnerLater, OwnerLater]),
        (RetrySafety::Dedupes, [Owner, Owner, OwnerLater, OwnerLater, OwnerLater]),
        (RetrySafety::Safe, [Front, Front, Front, FrontTries, Nobody]),
        (RetrySafety::Unsafe, [Front, Front, Front, Nobody, Nobody]),
    ];
    for (class, row) in table {
        for (failure, expected) in failures.into_iter().zip(row) {
            let owner = failure.retry_owner(class);
            assert_eq!(owner, expected, "{class:?} {failure:?}");
            let may_have_run = failure.execution() == ExecutionOutcome::MayHaveRun;
            assert!(
                !(may_have_run && class == RetrySafety::Unsafe && owner != Nobody),
                "an unsafe request may run twice"
            );
            assert!(may_have_run || owner != Nobody, "a request that did not run must be retried");
            assert!(!(may_have_run && owner == Owner), "an immediate retry may overlap with the first attempt");
        }
    }
    assert!(failures.iter().all(|failure| failure.execution() != ExecutionOutcome::Ran));
}
