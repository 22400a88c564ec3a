//! Hedged requests: a second send is started when the first one takes long.

use crate::failure::Failure;
use http1::Answer;
use std::future::Future;
use std::time::Duration;

fn is_good(outcome: &Result<Answer, Failure>) -> bool {
    outcome.as_ref().is_ok_and(|answer| answer.status < 500)
}

/// The result of two sends of which neither got a good answer: the answer of the send that ended
/// later, else that of the other one, else both failures combined.
fn best_of(earlier: Result<Answer, Failure>, later: Result<Answer, Failure>) -> Result<Answer, Failure> {
    match (earlier, later) {
        (_, Ok(answer)) | (Ok(answer), Err(_)) => Ok(answer),
        (Err(one), Err(other)) => Err(one.combine(other)),
    }
}

/// Waits for `first`. If it is still running after `hedge_delay`, also runs the send that `second`
/// returns, if any, and returns the first good answer. Only for requests that may run more than
/// once.
pub async fn hedged<F, S>(
    first: F,
    hedge_delay: Duration,
    second: impl FnOnce() -> Option<S>,
) -> Result<Answer, Failure>
where
    F: Future<Output = Result<Answer, Failure>>,
    S: Future<Output = Result<Answer, Failure>>,
{
    tokio::pin!(first);
    tokio::select! {
        outcome = &mut first => return outcome,
        _ = tokio::time::sleep(hedge_delay) => {}
    }
    let Some(second) = second() else { return first.await };
    telemetry::count("sent_beside");
    tokio::pin!(second);
    tokio::select! {
        outcome = &mut first => if is_good(&outcome) { outcome } else { best_of(outcome, second.await) },
        outcome = &mut second => if is_good(&outcome) { outcome } else { best_of(outcome, first.await) },
    }
}
