//! Operator orders against the replicated state machine: which are accepted, recognised as
//! repeats, in conflict or refused, under any leader and after a snapshot.

use bytes::Bytes;
use control::*;
use prost::Message;
use rpc::messages::{Grant, Partition, Rollout, Sample, ZoneUse};

/// A log whose entries are applied to two replicas, one of which is restored from a snapshot
/// before each entry; after 1000 entries only before every hundredth.
#[derive(Default)]
struct Log {
    index: u64,
    control_state: ControlState,
}

impl Log {
    fn put(&mut self, payload: CommandPayload) -> ApplyResult {
        self.raw(Command { payload: Some(payload), at_ms: 0 }.encode_to_vec().into())
    }

    fn raw(&mut self, data: Bytes) -> ApplyResult {
        self.index += 1;
        if self.index > 1000 && !self.index.is_multiple_of(100) {
            return self.control_state.apply(self.index, &data);
        }
        let mut other = ControlState::decode(self.control_state.encode_to_vec().as_slice()).expect("a snapshot");
        let applied = self.control_state.apply(self.index, &data);
        assert_eq!(other.apply(self.index, &data), applied);
        assert!(other == self.control_state, "the result depends on more than the state and the log");
        applied
    }

    fn config(&mut self, kind: &str, base: u64, revision: u64, body: &str) -> ApplyResult {
        let digest = digest(kind, "", base, revision, body.as_bytes());
        let (json, change) = if kind == "adjust" {
            (Bytes::new(), body.to_owned().into())
        } else {
            (body.to_owned().into(), Bytes::new())
        };
        self.put(CommandPayload::Configuration(PutConfiguration { base, revision, json, change, digest }))
    }

    fn rollout(&mut self, target: &str, at_ms: u64) -> ApplyResult {
        let order_id =
            OrderId { digest: digest("rollout", "p", 0, 0, target.as_bytes()), at_ms, until_ms: at_ms + 1000 };
        let rollout =
            Rollout { service: "p".into(), target: target.into(), state: "running".into(), ..Rollout::default() };
        self.put(CommandPayload::StartRollout(StartRollout { rollout, order_id }))
    }

    fn running(&self) -> Rollout {
        self.control_state.assignments.rollouts[0].clone()
    }

    fn judge(&mut self, was: &Rollout, state: &str) -> ApplyResult {
        let (was, now) = (was.clone(), Rollout { state: state.into(), ..was.clone() });
        self.put(CommandPayload::PutRollout(PutRollout { was, now }))
    }

    fn retire(&mut self, node: &str, stores: &[&str], at_ms: u64) -> ApplyResult {
        let order_id = OrderId { digest: digest("retire", node, 0, 0, b"{}"), at_ms, until_ms: at_ms + 1000 };
        let stores = stores.iter().map(|s| s.to_string()).collect();
        self.put(CommandPayload::StartRetire(StartRetire { node: node.into(), stores, min_remaining: 2, order_id }))
    }

    fn finish(&mut self, node: &str, began: u64) -> ApplyResult {
        self.put(CommandPayload::FinishRetire(FinishRetire { node: node.into(), began, replica_count: 2, born: 7 }))
    }

    fn partition(&mut self, change: impl Fn(&mut Partition)) {
        let was = self.control_state.assignments.partitions[0].clone();
        let mut now = was.clone();
        change(&mut now);
        assert_eq!(self.put(CommandPayload::Partition(PutPartition { was, now })), ApplyResult::Done);
    }
}

const CONFIGURATION: &str = r#"{"revision":3,"channels":[],"plants":[{"name":"p"}],"limits":{}}"#;

#[test]
fn of_two_roll_outs_of_a_service_one_is_accepted_and_its_repeat_is_recognised() {
    let mut l = Log::default();
    assert_eq!((l.rollout("v2", 10), l.rollout("v3", 10)), (ApplyResult::Done, ApplyResult::Conflict));
    // Repeats while the roll-out runs, as through the next leader: shortly and long after the first.
    assert_eq!((l.rollout("v2", 500), l.rollout("v2", 90_000)), (ApplyResult::Repeated, ApplyResult::Repeated));
    let first = l.running();
    assert_eq!((first.target.as_str(), first.began), ("v2", 1));
    assert_eq!(l.judge(&first, "reverted"), ApplyResult::Done);
    // Until it expires the same order is a repeat; after that it is a new order.
    assert_eq!(l.rollout("v2", 1010), ApplyResult::Repeated);
    assert_eq!(l.running().state, "reverted");
    assert_eq!(l.rollout("v2", 1011), ApplyResult::Done);
    let second = l.running();
    assert_eq!((second.state.as_str(), second.began), ("running", 7));
    assert_eq!(l.rollout("v2", 1900), ApplyResult::Repeated);
    // An order that met a conflict was not accepted: it may be sent again once nothing runs.
    assert_eq!(l.rollout("v3", 1950), ApplyResult::Conflict);
    l.judge(&second, "settled");
    assert_eq!(l.rollout("v3", 1960), ApplyResult::Done);
}

#[test]
fn the_judge_moves_only_the_roll_out_that_it_saw() {
    let mut l = Log::default();
    l.rollout("v2", 10);
    let first = l.running();
    assert_eq!((l.judge(&first, "reverted"), l.judge(&first, "settled")), (ApplyResult::Done, ApplyResult::Conflict));
    let ended = l.running();
    assert_eq!(l.judge(&ended, "running"), ApplyResult::Conflict, "a finished roll-out is not resumed");
    // A second roll-out that differs only in `began`: a decision on the first does not apply.
    assert_eq!(l.rollout("v2", 5000), ApplyResult::Done);
    assert_eq!(Rollout { began: first.began, ..l.running() }, first);
    assert_eq!(l.judge(&first, "settled"), ApplyResult::Conflict);
    assert_eq!(l.running().state, "running");
    let mut other = l.running();
    other.began = 99;
    let (was, now) = (l.running(), other);
    assert_eq!(l.put(CommandPayload::PutRollout(PutRollout { was, now })), ApplyResult::Done);
    assert_ne!(l.running().began, 99, "`began` cannot be changed");
}

/// Regression test: a revision whose roll-out was reverted counted as the one in use during the next roll-out.
#[test]
fn reverted_revisions_stay_rejected_in_later_roll_outs() {
    let mut l = Log::default();
    let mut step = |target: &str, at_ms: u64, state: &str| {
        assert_eq!(l.rollout(target, at_ms), ApplyResult::Done, "{target}");
        let began = l.running();
        if !state.is_empty() {
            assert_eq!(l.judge(&began, state), ApplyResult::Done, "{target}");
        }
        (l.running().rejected, ["v1", "v2", "v3", "v4"].map(|revision| l.running().is_previous(revision)))
    };
    assert_eq!(step("v2", 10, "reverted"), (vec![], [true, false, true, true]));
    assert_eq!(step("v3", 5000, "reverted"), (vec!["v2".into()], [true, false, false, true]));
    assert_eq!(step("v4", 10_000, "settled"), (vec!["v2".into(), "v3".into()], [true, false, false, false]));
    // Ordered again, it is on trial again; reverted again, it is rejected once.
    assert_eq!(step("v2", 20_000, "reverted"), (vec!["v3".into()], [true, false, false, true]));
    assert_eq!(step("v1", 30_000, ""), (vec!["v3".into(), "v2".into()], [false, false, false, true]));
}

/// A control node of a build that does not know `rejected` leaves it out of what it proposes.
#[test]
fn a_judgement_without_the_rejected_revisions_is_applied_and_keeps_them() {
    let mut l = Log::default();
    l.rollout("v2", 10);
    let first = l.running();
    l.judge(&first, "reverted");
    l.rollout("v3", 5000);
    let seen = Rollout { rejected: vec![], ..l.running() };
    assert_eq!(l.judge(&seen, "settled"), ApplyResult::Done);
    assert_eq!((l.running().state.as_str(), l.running().rejected), ("settled", vec!["v2".to_owned()]));
}

/// Regression test: failures of a rejected revision raised the rate that the next one was allowed.
#[test]
fn runs_of_a_rejected_revision_excuse_no_failures_of_the_next_one() {
    let sample = |revision: &str, good, bad| Sample {
        revision: revision.into(),
        route: "r".into(),
        good,
        bad,
        sent: good + bad,
        ..Sample::default()
    };
    let rollout = Rollout { within_ms: 10_000, share: 60, target: "v3".into(), ..Rollout::default() };
    let rejecting = Rollout { rejected: vec!["v2".into()], ..rollout.clone() };
    let decide = |rollout: &Rollout| {
        let mut monitor = RolloutMonitor::default();
        monitor.track_rollout(1);
        for revision in [sample("v1", 100, 0), sample("v2", 50, 50), sample("v3", 10, 10)] {
            monitor.add_sample(rollout, &revision);
        }
        monitor.decide(rollout, 1000, 500, 25.0)
    };
    assert_eq!(decide(&rollout), RolloutDecision::Wait, "half of the failures of v2 count for the old side");
    assert!(matches!(decide(&rejecting), RolloutDecision::Revert(_)));
}

#[test]
fn what_was_seen_of_one_roll_out_stays_until_another_one_begins() {
    let sample = |revision: &str, good, bad| Sample {
        revision: revision.into(),
        route: "r".into(),
        good,
        bad,
        sent: good + bad,
        ms_sum: f64::from(good) * 50.0,
        ..Sample::default()
    };
    let r = Rollout { within_ms: 10_000, share: 60, target: "v2".into(), ..Rollout::default() };
    let mut p = RolloutMonitor::default();
    p.add("v2", &sample("v1", 200, 0));
    p.add("v2", &sample("v2", 2, 8));
    p.track_rollout(5);
    p.track_rollout(5);
    assert!(
        matches!(p.decide(&r, 1000, 500, 25.0), RolloutDecision::Revert(_)),
        "a refused order does not discard the samples"
    );
    p.track_rollout(9);
    assert_eq!(p.decide(&r, 1000, 500, 25.0), RolloutDecision::Wait);
}

#[test]
fn three_retires_at_once_leave_two_machines() {
    let all = ["a", "b", "c"];
    let mut l = Log::default();
    let names = |of: &[&str]| of.iter().map(|s| s.to_string()).collect::<Vec<_>>();
    let p = Partition {
        id: 0,
        owner: "a".into(),
        replicas: names(&["a", "b"]),
        in_sync: names(&["a", "b"]),
        ..Partition::default()
    };
    l.put(CommandPayload::Layout(Layout { partitions: vec![p] }));
    let got = all.map(|n| l.retire(n, &all, 10));
    assert_eq!(got, [ApplyResult::Done, ApplyResult::Refused, ApplyResult::Refused]);
    assert_eq!((l.retire("a", &all, 20), l.retire("a", &[], 900)), (ApplyResult::Repeated, ApplyResult::Repeated));
    let began = l.control_state.assignments.retires[0].began;
    // It is finished only when the log shows that the node holds nothing and all copies are elsewhere.
    assert_eq!(l.finish("a", began), ApplyResult::Conflict, "it owns a partition");
    l.partition(|p| (p.owner, p.replicas) = ("b".into(), vec!["b".into(), "c".into()]));
    assert_eq!(l.finish("a", began), ApplyResult::Conflict, "it is a replica of a partition");
    l.partition(|p| p.in_sync = vec!["b".into()]);
    assert_eq!(l.finish("a", began), ApplyResult::Conflict, "a copy is missing");
    l.partition(|p| p.in_sync = vec!["b".into(), "c".into()]);
    l.partition(|p| p.grant = Some(Grant { term: 2, candidate: "c".into(), in_sync: vec![] }));
    assert_eq!(l.finish("a", began), ApplyResult::Conflict, "an ownership grant is pending");
    l.partition(|p| p.grant = None);
    assert_eq!(l.finish("a", began + 1), ApplyResult::Conflict, "another retire");
    assert_eq!((l.finish("a", began), l.finish("a", began)), (ApplyResult::Done, ApplyResult::Conflict));
    // A repeat after the node has left; and a retired node that is still live does not count.
    assert_eq!(l.retire("a", &["b", "c"], 1000), ApplyResult::Repeated);
    assert_eq!(l.retire("b", &all, 1000), ApplyResult::Refused);
    // If the machine is in use again, it counts and can be retired again.
    l.partition(|p| (p.replicas, p.in_sync) = (vec!["b".into(), "a".into()], vec!["b".into(), "a".into()]));
    assert_eq!(l.retire("a", &all, 2000), ApplyResult::Done);
    assert!(l.control_state.assignments.retires[0].began > began && !l.control_state.assignments.retires[0].done);
}

#[test]
fn a_digest_covers_everything_that_distinguishes_orders() {
    let parts =
        [("replace", "", 0, 3, "x"), ("adjust", "", 0, 3, "x"), ("replace", "", 1, 3, "x"), ("replace", "", 0, 4, "x")];
    let more = [
        ("replace", "", 0, 3, "y"),
        ("replac", "e", 0, 3, "x"),
        ("replace", "x", 0, 3, ""),
        ("replace", "", 3, 0, "x"),
    ];
    let all: std::collections::HashSet<Bytes> =
        parts.iter().chain(&more).map(|(k, n, b, r, body)| digest(k, n, *b, *r, body.as_bytes())).collect();
    assert_eq!(all.len(), parts.len() + more.len());
    assert!(all.iter().all(|d| d.len() == 32));
}

#[test]
fn a_revision_is_used_by_one_configuration_only() {
    let mut l = Log::default();
    // Eight requests with the same base: two revisions and two bodies, each combination twice.
    let other = CONFIGURATION.replace("\"p\"", "\"q\"");
    let bodies: Vec<(&str, u64, String)> = (0..8u64)
        .map(|n| ("replace", 3 + n / 4, if n % 2 == 0 { CONFIGURATION.to_owned() } else { other.clone() }))
        .collect();
    let first: Vec<ApplyResult> = bodies.iter().map(|(k, r, b)| l.config(k, 0, *r, b)).collect();
    let same = |n: usize| bodies[n].1 == 3 && bodies[n].2 == CONFIGURATION;
    for (n, got) in first.iter().enumerate() {
        let wanted = if n == 0 {
            ApplyResult::Done
        } else if same(n) {
            ApplyResult::Repeated
        } else {
            ApplyResult::Conflict
        };
        assert_eq!(*got, wanted, "{n}");
    }
    assert_eq!(l.control_state.configuration, CONFIGURATION);
    // The same body as another kind of request, or with another base, is not a repeat.
    assert_eq!(l.config("adjust", 0, 3, CONFIGURATION), ApplyResult::Conflict);
    assert_eq!(l.config("replace", 2, 3, CONFIGURATION), ApplyResult::Conflict);
    assert_eq!(l.config("replace", 3, 3, CONFIGURATION), ApplyResult::Conflict, "a revision is not used twice");
    // Changes that cannot be applied, with the current and with an outdated base.
    let before = l.control_state.clone();
    for (base, wanted) in [(3, ApplyResult::Refused), (2, ApplyResult::Conflict)] {
        assert_eq!(l.config("adjust", base, 9, r#"{"revision":9,"remove":{"nowhere":["p"]}}"#), wanted);
        assert_eq!(l.config("adjust", base, 9, "no json"), wanted);
    }
    assert!(l.control_state == ControlState { applied: l.index, ..before });
    assert_eq!(l.config("adjust", 3, 9, r#"{"revision":9,"remove":{"plants":["p"]}}"#), ApplyResult::Done);
    // An accepted configuration is recognised after later changes too.
    assert_eq!(l.config("replace", 0, 3, CONFIGURATION), ApplyResult::Repeated);
    assert_eq!(l.config("replace", 0, 3, &other), ApplyResult::Conflict);
    // A command without a digest is never a repeat.
    let bare = PutConfiguration { base: 9, revision: 11, json: "{}".into(), ..PutConfiguration::default() };
    assert_eq!(l.put(CommandPayload::Configuration(bare.clone())), ApplyResult::Done);
    assert_eq!(l.put(CommandPayload::Configuration(bare)), ApplyResult::Conflict);
}

#[test]
fn what_is_known_again_is_bounded() {
    let mut l = Log::default();
    let (mut largest, mut began) = (0, 0);
    for n in 0..5000u64 {
        l.config("replace", n, n + 1, "{}");
        if l.rollout(&format!("v{n}"), n * 10) == ApplyResult::Done {
            let r = l.running();
            l.judge(&r, "settled");
            began += 1;
        }
        largest = largest.max(l.control_state.encoded_len());
    }
    assert_eq!(began, 5000);
    for n in [4999, 4990, 5000 - 256] {
        assert!(l.control_state.knows_configuration(&digest("replace", "", n, n + 1, b"{}")), "{n}");
    }
    // Only orders that have not expired are kept.
    assert!((100..=102).contains(&l.control_state.orders.len()), "{}", l.control_state.orders.len());
    assert!(largest < 64 << 10, "{largest} bytes of state");
    // The bound holds also if the time does not advance.
    for n in 0..1000 {
        l.rollout(&format!("w{n}"), 49_990);
        let r = l.running();
        l.judge(&r, "settled");
    }
    assert_eq!(l.control_state.orders.len(), 256);
}

#[test]
fn undecodable_commands_are_counted_and_change_nothing() {
    let mut l = Log::default();
    l.config("replace", 0, 3, CONFIGURATION);
    let before = (l.control_state.clone(), telemetry::get("commands_undecoded"));
    // Random bytes, a truncated command, and a command of an unknown kind.
    let mut whole = Command { payload: Some(CommandPayload::Layout(Layout::default())), at_ms: 0 }.encode_to_vec();
    whole.truncate(1);
    for bad in [&b"\xff\xff\xff"[..], &whole, &[0xfa, 0x01, 0x00]] {
        assert_eq!(l.raw(Bytes::copy_from_slice(bad)), ApplyResult::Undecoded, "{bad:?}");
    }
    assert!(l.control_state == ControlState { applied: l.index, ..before.0 });
    assert_eq!(telemetry::get("commands_undecoded"), before.1 + 6, "once for each replica");
    assert_eq!(l.raw(Bytes::new()), ApplyResult::Done, "entries of Raft itself are empty");
}

impl Log {
    fn evacuate(&mut self, zone: &str, finished: bool) -> ApplyResult {
        self.put(CommandPayload::Evacuate(EvacuateZone { zone: zone.into(), finished }))
    }

    fn cold_known(&mut self, zone: &str, ordered: u64, membership: u64) -> ApplyResult {
        self.put(CommandPayload::ColdKnown(ColdKnown { zone: zone.into(), ordered, membership }))
    }

    fn zone_use(&self, zone: &str, membership: u64) -> ZoneUse {
        self.control_state.assignments.zone_use(zone, membership)
    }
}

#[test]
fn the_last_evacuation_order_of_a_zone_holds_and_repeats_are_acknowledged() {
    let mut log = Log::default();
    assert_eq!(log.evacuate("a", true), ApplyResult::Repeated, "the zone is not evacuated, as the order asks");
    assert_eq!(log.evacuate("a", false), ApplyResult::Done);
    let version = log.control_state.assignments.version;
    assert_eq!(log.evacuate("a", false), ApplyResult::Repeated);
    assert_eq!(log.control_state.assignments.version, version, "a repeat changes nothing");
    assert_eq!((log.zone_use("a", 9), log.zone_use("b", 9)), (ZoneUse::Evacuated, ZoneUse::Open));
    assert_eq!(log.evacuate("a", true), ApplyResult::Done);
    assert_eq!(log.evacuate("a", true), ApplyResult::Repeated);
    assert_eq!(log.zone_use("a", 9), ZoneUse::Returning);
    assert_eq!(log.evacuate("a", false), ApplyResult::Done, "evacuated again");
    assert_eq!(log.zone_use("a", 9), ZoneUse::Evacuated);
    assert_eq!(log.control_state.assignments.evacuations.len(), 1);
}

#[test]
fn a_returning_zone_is_open_to_nodes_that_know_its_cold_processors() {
    let mut log = Log::default();
    log.evacuate("a", false);
    log.evacuate("a", true);
    let ordered = log.control_state.assignments.evacuations[0].ordered;
    assert_eq!(log.cold_known("a", ordered, 40), ApplyResult::Done);
    assert_eq!((log.zone_use("a", 39), log.zone_use("a", 40)), (ZoneUse::Returning, ZoneUse::Open));
    // A listing from before another evacuation does not apply to the return after it.
    log.evacuate("a", false);
    assert_eq!(log.cold_known("a", ordered, 50), ApplyResult::Conflict);
    log.evacuate("a", true);
    assert_eq!(log.cold_known("a", ordered, 60), ApplyResult::Conflict);
    assert_eq!(log.zone_use("a", 60), ZoneUse::Returning);
}
