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
        let taken_at = self.now();
        let Some(fronts) = self.known_delivery_nodes().await else { return };
        let mut asked = Vec::new();
        for h in fronts {
            let end = self.rpc_clients.to(&h.inner);
            asked.push((
                h.name,
                tokio::spawn(async move {
                    for _ in 0..2 {
                        match end.call(Body::Holding(Holding { partition, term }), wait).await {
                            Ok(Body::Held(h)) => {
                                let named = |n: usize, of: &[u64]| of.get(n).copied().unwrap_or(0);
                                let held = h.positions.iter().enumerate();
                                return Some(
                                    held.map(|(n, p)| (*p, named(n, &h.terms), named(n, &h.attempts))).collect(),
                                );
                            }
                            Err(ExecutionOutcome::MayHaveRun) => return None,
                            _ => tokio::time::sleep(wait / 8).await,
                        }
                    }
                    // A refused connection shows that the process, and with it its attempts, has
                    // ended. A node that is cut off from the network gives no such sign.
                    rpc::refuses(&h.inner, wait).await.then(Vec::new)
                }),
            ));
        }
        let (mut held, mut names, mut answered) = (Vec::new(), Vec::new(), HashSet::new());
        for (name, a) in asked {
            if let Some(all) = a.await.ok().flatten() {
                held.extend(all.into_iter().map(|p: (u64, u64, u64)| (p, name.clone())));
                answered.insert(name.clone());
            }
            names.push(name);
        }
        // Held attempts are matched to messages by position, so the log has to be applied first.
        loop {
            {
                let i = self.shared.lock().unwrap();
                match i.replicas.get(&partition).filter(|m| m.term == term && m.role == ReplicaRole::Owner) {
                    Some(m) if m.caught_up() && self.is_timed(&i, partition) => break,
                    Some(_) => {}
                    None => return,
                }
            }
            tokio::time::sleep(Duration::from_millis(self.quiet_fraction_ms(250.0))).await;
        }
        let mut i = self.shared.lock().unwrap();
        let i = &mut *i;
        if i.replicas.get(&partition).is_none_or(|m| m.term != term || m.role != ReplicaRole::Owner) {
            return;
        }
        i.recovering.remove(&partition);
        let now = self.now();
        let time = self.owner_time(i, partition);
        let taken = time.saturating_sub(now - taken_at);
        let known = self.session.known();
        let m = &i.replicas[&partition];
        for ((pos, of_term, attempt), front) in held {
            if let Some(w) = m.state.pieces.get(&pos)
                && w.state == MessageState::Pending
                && let Some(c) = known.configuration.route_named(&w.item.route)
            {
                let until = now + c.timeout_ms as u64 * 21 / 20 + self.quiet_fraction_ms(8.0);
                let service = agent::service_of(c, &w.item.id);
                i.scheduler.adopt_attempt((partition, pos), c, service, &w.processor, &front, until);
                i.scheduler.set_attempt_number((partition, pos), of_term, attempt);
            }
        }
        let pending: Vec<u64> = m.state.pending.iter().copied().collect();
        let longest = |w: &partition::Message| {
            let timeout = known.configuration.route_named(&w.item.route).map_or(0, |c| c.timeout_ms as u64);
            timeout + self.quiet_fraction_ms(16.0)
        };
        let at_work = pending.iter().map(|pos| &m.state.pieces[pos]).filter(|w| w.sent_ms + longest(w) > taken);
        let unresponsive_nodes =
            unresponsive_nodes(&answered, names.iter().map(String::as_str), at_work.map(|w| w.node.as_str()));
        let owed: Vec<u64> = m.state.pieces.iter().filter(|(_, w)| w.owes_notice()).map(|(p, _)| *p).collect();
        for pos in pending {
            // A missing answer does not mean that nothing is held: a message last dispatched to
            // such a node waits until that attempt cannot be running any more.
            let w = &i.replicas[&partition].state.pieces[&pos];
            let unresponsive = UnresponsiveNodes {
                any: seized && !unresponsive_nodes.is_empty(),
                last_recipient: unresponsive_nodes.contains(&w.node),
            };
            let hold_until = unresponsive.hold_until(!w.item.order_key.is_empty(), w.sent_ms, taken, longest(w));
            if hold_until > time {
                telemetry::count("runs_maybe_held");
                i.scheduler.delay_until((partition, pos), now + surely_over(hold_until - time));
                continue;
            }
            self.schedule(i, (partition, pos), now);
        }
        for pos in owed {
            if !i.scheduler.callbacks.iter().any(|(_, k)| *k == (partition, pos)) {
                i.scheduler.callbacks.push_back((now, (partition, pos)));
            }
        }
        self.wake.notify_one();
    }
}
