//! The whole table of what is sent again after a send that missed its answer.

use dovetail::{Again, Class, Gap, Verdict};

#[test]
fn each_class_of_request_is_sent_again_as_the_table_says() {
    use Again::*;
    let gaps = [Gap::NotSent, Gap::Refused, Gap::Busy, Gap::Lost, Gap::Silent];
    let table = [
        (Class::Message, [Owner, Owner, OwnerLater, OwnerLater, OwnerLater]),
        (Class::Sequenced, [Owner, Owner, OwnerLater, OwnerLater, OwnerLater]),
        (Class::Dedupes, [Owner, Owner, OwnerLater, OwnerLater, OwnerLater]),
        (Class::Safe, [Front, Front, Front, FrontTries, Nobody]),
        (Class::Unsafe, [Front, Front, Front, Nobody, Nobody]),
    ];
    for (class, row) in table {
        for (gap, wanted) in gaps.into_iter().zip(row) {
            let again = gap.again(class);
            assert_eq!(again, wanted, "{class:?} {gap:?}");
            let may = gap.verdict() == Verdict::MayHaveRun;
            assert!(!(may && class == Class::Unsafe && again != Nobody), "at most once");
            assert!(may || again != Nobody, "what did not run is not given up for that");
            assert!(!(may && again == Owner), "never at once beside one that may be at work");
        }
    }
    assert!(gaps.iter().all(|g| g.verdict() != Verdict::Ran));
}
