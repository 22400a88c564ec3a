//! The audit of an owner's schedule: every message that may run is on its way to a run, and what
//! the others wait for is counted.
//!
//! Invariant (docs/design.md): a pending message that is the first of its order is queued for a
//! service that the configuration has, waits for a time, is under way, or is being answered.

use super::*;

/// One in so many ticks audits the schedule.
const AUDIT_TICKS: u64 = 32;

/// What the pending messages of this node's partitions wait for.
#[derive(Default)]
struct Waiting {
    behind_another: u64,
    answering: u64,
    taken_over: u64,
    /// Neither scheduled nor waiting for anything known.
    unscheduled: Vec<Key>,
}

impl StoreService {
    /// Audits the schedule from time to time, and mends what it finds.
    pub(super) fn audit(&self, i: &mut StoreState, rounds: u64) {
        if !rounds.is_multiple_of(AUDIT_TICKS) || !self.leased(i) {
            return;
        }
        let waiting = self.waiting(i);
        telemetry::set("waiting_queued", i.scheduler.queued() as u64);
        telemetry::set("waiting_for_a_time", i.scheduler.delayed() as u64);
        telemetry::set("waiting_under_way", i.scheduler.in_flight.len() as u64);
        telemetry::set("waiting_behind_another", waiting.behind_another);
        telemetry::set("waiting_for_their_answer", waiting.answering);
        telemetry::set("waiting_for_a_take_over", waiting.taken_over);
        self.check_scheduled(&waiting.unscheduled);
        self.check_queues(i);
        let now = self.now();
        for key in waiting.unscheduled {
            self.schedule(i, key, now);
        }
    }

    fn waiting(&self, i: &StoreState) -> Waiting {
        let scheduled = i.scheduler.scheduled();
        let mut waiting = Waiting::default();
        for replica in i.replicas.values().filter(|replica| replica.open()) {
            let asked_up_to = i.asking.get(&replica.id).copied().unwrap_or(0);
            for position in &replica.state.pending {
                let key = (replica.id, *position);
                if scheduled.contains(&key) {
                    continue;
                }
                let is_head = replica.state.pieces.get(position).is_some_and(|w| replica.state.is_head(*position, w));
                if *position <= asked_up_to || !replica.caught_up() {
                    waiting.taken_over += 1;
                } else if !is_head {
                    waiting.behind_another += 1;
                } else if i.answering.contains_key(&key) {
                    waiting.answering += 1;
                } else {
                    waiting.unscheduled.push(key);
                }
            }
        }
        waiting
    }

    fn check_scheduled(&self, unscheduled: &[Key]) {
        let first = unscheduled.first();
        telemetry::check_invariant(
            "invariant_message_unscheduled",
            unscheduled.len() as u64,
            format_args!("messages that nothing schedules, the first {first:?}"),
        );
    }

    fn check_queues(&self, i: &StoreState) {
        let queues = i.scheduler.queues_ready();
        let is_unserved =
            |queue: &&QueueId| self.session.with_known(|k| k.configuration.service(&queue.service).is_none());
        let unserved: Vec<&QueueId> = queues.iter().filter(is_unserved).collect();
        let first = unserved.first().map(|queue| queue.service.as_str());
        telemetry::check_invariant(
            "invariant_queue_unserved",
            unserved.len() as u64,
            format_args!("queues of services that the configuration lacks, the first {first:?}"),
        );
    }
}
