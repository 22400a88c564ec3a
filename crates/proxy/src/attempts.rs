//! Tracks the processors on which a client's request may have run.
//!
//! A route's `tries` bounds the number of processors on which one client request may run,
//! regardless of the number of sends: hedged sends and retries count towards the same bound. A
//! processor that reports that it did not run the request is not counted.

use std::collections::HashMap;

/// The sends of one client request, by processor.
pub struct Attempts {
    tries: usize,
    /// Sends that are in flight, or that ended without proof that the request did not run.
    sends: HashMap<String, usize>,
}

impl Attempts {
    /// An empty record with the `tries` of the route.
    pub fn new(tries: u32) -> Attempts {
        Attempts { tries: tries.max(1) as usize, sends: HashMap::new() }
    }

    /// Whether the request may be sent to one more processor.
    pub fn has_room(&self) -> bool {
        self.sends.len() < self.tries
    }

    /// Whether a processor may have run the request or may be running it.
    pub fn may_have_run_on(&self, processor: &str) -> bool {
        self.sends.contains_key(processor)
    }

    /// Records a send. Returns false if it would exceed the bound on processors, or on sends to
    /// the same processor.
    pub fn begin(&mut self, processor: &str) -> bool {
        let allowed = match self.sends.get(processor) {
            Some(sends) => *sends < self.tries,
            None => self.has_room(),
        };
        if allowed {
            *self.sends.entry(processor.to_owned()).or_default() += 1;
        }
        allowed
    }

    /// Removes a send that did not leave, or whose processor reported that it did not run the
    /// request.
    pub fn did_not_run(&mut self, processor: &str) {
        if let Some(sends) = self.sends.get_mut(processor) {
            *sends -= 1;
            if *sends == 0 {
                self.sends.remove(processor);
            }
        }
    }

    /// Whether any processor may have run the request or may be running it.
    pub fn may_have_run(&self) -> bool {
        !self.sends.is_empty()
    }
}
