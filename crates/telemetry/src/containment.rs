//! What a panic ends: the task of one connection or one call, or the whole process.
//!
//! A task that carries out one request of another machine is run `contained`: a panic in it ends
//! this task alone. Any other panic ends the process at once, as state that is half changed must
//! not be served; so does, by its poisoned lock, state that a contained task left half changed.

use std::cell::Cell;
use std::future::{Future, poll_fn};

thread_local! {
    /// Whether the task that is polled now is contained.
    static IS_CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// Marks the current poll as that of a contained task.
struct Scope {
    former: bool,
}

impl Scope {
    fn enter() -> Scope {
        Scope { former: IS_CONTAINED.replace(true) }
    }
}

impl Drop for Scope {
    fn drop(&mut self) {
        IS_CONTAINED.set(self.former);
    }
}

/// Runs a future whose panics may end its task and nothing else. To be the whole of a spawned
/// task, or of a spawned part of one.
pub async fn contained<F: Future>(future: F) -> F::Output {
    let mut future = std::pin::pin!(future);
    poll_fn(|context| {
        let _scope = Scope::enter();
        future.as_mut().poll(context)
    })
    .await
}

/// From now on a panic outside of contained tasks ends the process; one inside is counted as
/// `tasks_panicked`.
pub fn end_process_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        if !IS_CONTAINED.get() {
            std::process::abort();
        }
        crate::count("tasks_panicked");
        crate::error!("ALARM a request's task has panicked: {panic}");
    }));
}
