//! Recovery of a new owner: queries the delivery nodes for the attempts that they hold.

use super::*;
use crate::takeover::{delivery_nodes_to_query, unresponsive_nodes};
use agent::ClusterView;

impl StoreService {
    /// Waits until this incarnation has received a membership and returns the delivery nodes to
    /// query.
    async fn known_delivery_nodes(&self) -> Option<Vec<Node>> {
        let mut views = self.session.subscribe();
        let to_query = |view: &ClusterView| delivery_nodes_to_query(&view.membership, &self.previous_nodes);
        let view = views.wait_for(|view| to_query(view).is_some()).await.ok()?;
        to_query(&view)
    }

    /// After a take-over, asks the delivery nodes for the attempts that they hold, adopts those and
    /// schedules the other pending messages. From the query on the nodes refuse older terms.
    pub(super) async fn recover_attempts(self: Arc<Self>, partition: u32, term: u64, seized: bool) {
        let wait = Duration::from_millis(self.quiet_fraction_ms(16.0));
        let taken_over_at = self.now();
        let Some(fronts) = self.known_delivery_nodes().await else { return };
        let mut queries = Vec::new();
        for front in fronts {
            let client = self.rpc_clients.to(&front.inner);
            queries.push((
                front.name,
                tokio::spawn(async move {
                    for _ in 0..2 {
                        match client.call(Body::Holding(Holding { partition, term }), wait).await {
                            Ok(Body::Held(answer)) => {
                                let value_at = |n: usize, of: &[u64]| of.get(n).copied().unwrap_or(0);
                                let held = answer.positions.iter().enumerate();
                                return Some(
                                    held.map(|(n, p)| (*p, value_at(n, &answer.terms), value_at(n, &answer.attempts)))
                                        .collect(),
                                );
                            }
                            Err(ExecutionOutcome::MayHaveRun) => return None,
                            _ => tokio::time::sleep(wait / 8).await,
                        }
                    }
                    // A refused connection shows that the process, and with it its attempts, has
                    // ended. A node that is cut off from the network gives no such sign.
                    rpc::refuses_connections(&front.inner, wait).await.then(Vec::new)
                }),
            ));
        }
        let (mut held, mut names, mut answered) = (Vec::new(), Vec::new(), HashSet::new());
        for (name, query) in queries {
            if let Some(all) = query.await.ok().flatten() {
                held.extend(all.into_iter().map(|p: (u64, u64, u64)| (p, name.clone())));
                answered.insert(name.clone());
            }
            names.push(name);
        }
        // Held attempts are matched to messages by position, so the log has to be applied first.
        loop {
            {
                let state = self.shared.lock().unwrap();
                match state
                    .replicas
                    .get(&partition)
                    .filter(|replica| replica.term == term && replica.role == ReplicaRole::Owner)
                {
                    Some(replica) if replica.is_caught_up() && self.has_owner_time(&state, partition) => break,
                    Some(_) => {}
                    None => return,
                }
            }
            tokio::time::sleep(Duration::from_millis(self.quiet_fraction_ms(250.0))).await;
        }
        let mut state = self.shared.lock().unwrap();
        let state = &mut *state;
        if state
            .replicas
            .get(&partition)
            .is_none_or(|replica| replica.term != term || replica.role != ReplicaRole::Owner)
        {
            return;
        }
        state.recovering.remove(&partition);
        let now = self.now();
        let time = self.owner_time(state, partition);
        let taken_over_time = time.saturating_sub(now - taken_over_at);
        let known = self.session.known();
        let replica = &state.replicas[&partition];
        for ((pos, of_term, attempt), front) in held {
            if let Some(message) = replica.state.messages.get(&pos)
                && message.state == MessageState::Pending
                && let Some(route) = known.configuration.route_named(&message.item.route)
            {
                let deadline = now + route.timeout_ms as u64 * 21 / 20 + self.quiet_fraction_ms(8.0);
                let service = agent::service_of(route, &message.item.id);
                state.scheduler.adopt_attempt((partition, pos), route, service, &message.processor, &front, deadline);
                state.scheduler.set_attempt_number((partition, pos), of_term, attempt);
            }
        }
        let pending: Vec<u64> = replica.state.pending.iter().copied().collect();
        let longest = |message: &partition::Message| {
            let timeout = known.configuration.route_named(&message.item.route).map_or(0, |c| c.timeout_ms as u64);
            timeout + self.quiet_fraction_ms(16.0)
        };
        let at_work = pending
            .iter()
            .map(|pos| &replica.state.messages[pos])
            .filter(|message| message.sent_ms + longest(message) > taken_over_time);
        let unresponsive_nodes = unresponsive_nodes(
            &answered,
            names.iter().map(String::as_str),
            at_work.map(|message| message.node.as_str()),
        );
        let owed_callbacks: Vec<u64> = replica
            .state
            .messages
            .iter()
            .filter(|(_, message)| message.needs_notification())
            .map(|(p, _)| *p)
            .collect();
        for pos in pending {
            // A missing answer does not mean that nothing is held: a message last dispatched to
            // such a node waits until that attempt cannot be running any more.
            let message = &state.replicas[&partition].state.messages[&pos];
            let unresponsive = UnresponsiveNodes {
                any: seized && !unresponsive_nodes.is_empty(),
                last_recipient: unresponsive_nodes.contains(&message.node),
            };
            let hold_until = unresponsive.hold_until(
                !message.item.order_key.is_empty(),
                message.sent_ms,
                taken_over_time,
                longest(message),
            );
            if hold_until > time {
                telemetry::count("runs_maybe_held");
                state.scheduler.delay_until((partition, pos), now + with_slew_margin(hold_until - time));
                continue;
            }
            self.schedule(state, (partition, pos), now);
        }
        for pos in owed_callbacks {
            if !state.scheduler.callbacks.iter().any(|(_, key)| *key == (partition, pos)) {
                state.scheduler.callbacks.push_back((now, (partition, pos)));
            }
        }
        self.wake.notify_one();
    }
}
