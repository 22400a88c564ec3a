//! Panic policy: a panic ends either the task of one connection or call, or the whole process.
//!
//! A task that handles a request of another machine runs in [`contained`], so a panic in it ends only
//! this task. Any other panic aborts the process at once, because state that was changed only in part
//! must not be served. State that a contained task left changed in part has a poisoned lock, and so
//! leads to an abort as well.

use std::cell::Cell;
use std::future::{Future, poll_fn};

thread_local! {
    /// Whether the future that this thread is polling is contained.
    static IS_CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// Marks the current thread as polling a contained future until it is dropped.
struct ContainedScope {
    previous: bool,
}

impl ContainedScope {
    fn enter() -> ContainedScope {
        ContainedScope { previous: IS_CONTAINED.replace(true) }
    }
}

impl Drop for ContainedScope {
    fn drop(&mut self) {
        IS_CONTAINED.set(self.previous);
    }
}

/// Runs a future whose panics end only its own task. It must be the whole future of a
/// spawned task, or of a spawned part of one.
pub async fn contained<F: Future>(future: F) -> F::Output {
    let mut future = std::pin::pin!(future);
    poll_fn(|context| {
        let _scope = ContainedScope::enter();
        future.as_mut().poll(context)
    })
    .await
}

/// Installs a panic hook: a panic outside of contained tasks aborts the process, and one inside is
/// counted as `tasks_panicked`.
pub fn end_process_on_panic() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        previous_hook(panic);
        if !IS_CONTAINED.get() {
            std::process::abort();
        }
        crate::count("tasks_panicked");
        crate::error!("ALARM the task of a request panicked: {panic}");
    }));
}
