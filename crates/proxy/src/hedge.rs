//! A second send beside a first one that takes long.

use crate::failure::Failure;
use http1::Answer;
use std::future::Future;
use std::time::Duration;

fn is_good(outcome: &Result<Answer, Failure>) -> bool {
    outcome.as_ref().is_ok_and(|answer| answer.status < 500)
}

/// Of two sends of one request, neither of which came to a good answer: the later one's
/// answer, or the earlier one's, or what both say together.
fn better(earlier: Result<Answer, Failure>, later: Result<Answer, Failure>) -> Result<Answer, Failure> {
    match (earlier, later) {
        (_, Ok(answer)) | (Ok(answer), Err(_)) => Ok(answer),
        (Err(one), Err(other)) => Err(one.and(other)),
    }
}

/// Waits for `first`, and once it has taken `patience` for `second` as well, if that is to be:
/// the first good answer is the client's. For requests that may run more than once.
pub async fn hedged<F, S>(first: F, patience: Duration, second: impl FnOnce() -> Option<S>) -> Result<Answer, Failure>
where
    F: Future<Output = Result<Answer, Failure>>,
    S: Future<Output = Result<Answer, Failure>>,
{
    tokio::pin!(first);
    tokio::select! {
        outcome = &mut first => return outcome,
        _ = tokio::time::sleep(patience) => {}
    }
    let Some(second) = second() else { return first.await };
    telemetry::count("sent_beside");
    tokio::pin!(second);
    tokio::select! {
        outcome = &mut first => if is_good(&outcome) { outcome } else { better(outcome, second.await) },
        outcome = &mut second => if is_good(&outcome) { outcome } else { better(outcome, first.await) },
    }
}
