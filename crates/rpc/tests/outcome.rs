//! The whole table of what is sent again after a send that missed its answer.

use rpc::{DeliveryFailure, ExecutionOutcome, RetryOwner, RetrySafety};

#[test]
fn each_class_of_request_is_sent_again_as_the_table_says() {
    use RetryOwner::*;
    let gaps = [
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
        for (gap, wanted) in gaps.into_iter().zip(row) {
            let again = gap.again(class);
            assert_eq!(again, wanted, "{class:?} {gap:?}");
            let may = gap.execution() == ExecutionOutcome::MayHaveRun;
            assert!(!(may && class == RetrySafety::Unsafe && again != Nobody), "at most once");
            assert!(may || again != Nobody, "what did not run is not given up for that");
            assert!(!(may && again == Owner), "never at once beside one that may be at work");
        }
    }
    assert!(gaps.iter().all(|g| g.execution() != ExecutionOutcome::Ran));
}
