//! Which processors one try of a client may have run on.
//!
//! A route's `tries` bounds the processors that one try of a client runs on, however many
//! sends that takes: a hedged send and a retry draw on the same bound. A processor that
//! says that it did not run the request gives its place back.

use std::collections::HashMap;

/// The sends of one client try, by processor.
pub struct Attempts {
    tries: usize,
    /// Sends that are under way, or that ended without a word on whether they ran.
    sends: HashMap<String, usize>,
}

impl Attempts {
    /// No sends yet; `tries` as the route has it.
    pub fn new(tries: u32) -> Attempts {
        Attempts { tries: tries.max(1) as usize, sends: HashMap::new() }
    }

    /// Whether one more processor may have the request.
    pub fn has_room(&self) -> bool {
        self.sends.len() < self.tries
    }

    /// Whether a processor may have run the request, or is at it.
    pub fn may_have_run_on(&self, processor: &str) -> bool {
        self.sends.contains_key(processor)
    }

    /// Begins a send, unless that would be one processor too many, or once too often to
    /// the same one.
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

    /// A send never left, or its processor said that it did not run the request.
    pub fn did_not_run(&mut self, processor: &str) {
        if let Some(sends) = self.sends.get_mut(processor) {
            *sends -= 1;
            if *sends == 0 {
                self.sends.remove(processor);
            }
        }
    }

    /// Whether any processor may have run the request, or is at it.
    pub fn may_have_run(&self) -> bool {
        !self.sends.is_empty()
    }
}
