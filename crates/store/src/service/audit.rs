//! Audits an owner's schedule: checks that every message that may run is scheduled, and counts what
//! the other pending messages wait for.
//!
//! Invariant (docs/design.md): a pending message at the head of its order key is queued for a
//! service of the configuration, delayed, in flight, or waits for its report to be committed.

use super::*;

/// The number of ticks between two audits.
const AUDIT_TICKS: u64 = 32;

/// Counts the unscheduled pending messages of this node's partitions by what they wait for.
#[derive(Default)]
struct Waiting {
    behind_another: u64,
    answering: u64,
    taken_over: u64,
    /// Neither scheduled nor waiting for a known reason: violations of the invariant.
    unscheduled: Vec<MessageKey>,
}

impl StoreService {
    /// Audits the schedule every `AUDIT_TICKS` ticks and schedules the messages that it finds
    /// unscheduled.
    pub(super) fn audit(&self, state: &mut StoreState, rounds: u64) {
        if !rounds.is_multiple_of(AUDIT_TICKS) || !self.has_lease(state) {
            return;
        }
        let waiting = self.waiting(state);
        telemetry::set("waiting_queued", state.scheduler.queued_count() as u64);
        telemetry::set("waiting_for_a_time", state.scheduler.delayed_count() as u64);
        telemetry::set("waiting_under_way", state.scheduler.in_flight.len() as u64);
        telemetry::set("waiting_behind_another", waiting.behind_another);
        telemetry::set("waiting_for_their_answer", waiting.answering);
        telemetry::set("waiting_for_a_take_over", waiting.taken_over);
        self.check_scheduled(&waiting.unscheduled);
        self.check_queues(state);
        let now = self.now();
        for key in waiting.unscheduled {
            self.schedule(state, key, now);
        }
    }

    fn waiting(&self, state: &StoreState) -> Waiting {
        let scheduled = state.scheduler.scheduled();
        let mut waiting = Waiting::default();
        for replica in state.replicas.values().filter(|replica| replica.is_writable()) {
            let recovering_up_to = state.recovering.get(&replica.id).copied().unwrap_or(0);
            for position in &replica.state.pending {
                let key = (replica.id, *position);
                if scheduled.contains(&key) {
                    continue;
                }
                let is_head = replica
                    .state
                    .messages
                    .get(position)
                    .is_some_and(|message| replica.state.is_head(*position, message));
                if *position <= recovering_up_to || !replica.is_caught_up() {
                    waiting.taken_over += 1;
                } else if !is_head {
                    waiting.behind_another += 1;
                } else if state.uncommitted_reports.contains_key(&key) {
                    waiting.answering += 1;
                } else {
                    waiting.unscheduled.push(key);
                }
            }
        }
        waiting
    }

    fn check_scheduled(&self, unscheduled: &[MessageKey]) {
        let first = unscheduled.first();
        telemetry::check_invariant(
            "invariant_message_unscheduled",
            unscheduled.len() as u64,
            format_args!("pending messages that are not scheduled, first {first:?}"),
        );
    }

    fn check_queues(&self, state: &StoreState) {
        let queues = state.scheduler.ready_queues();
        let is_unserved =
            |queue: &&QueueId| self.session.with_known(|known| known.configuration.service(&queue.service).is_none());
        let unserved: Vec<&QueueId> = queues.iter().filter(is_unserved).collect();
        let first = unserved.first().map(|queue| queue.service.as_str());
        telemetry::check_invariant(
            "invariant_queue_unserved",
            unserved.len() as u64,
            format_args!("queues of services that are not in the configuration, first {first:?}"),
        );
    }
}
