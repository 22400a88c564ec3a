//! Placement of operations and order keys, with mock owners that apply real records. Routes, services,
//! order, homes and partitions change, and two fronts learn of each change at different times.

use agent::ClusterView;
use config::Settings;
use front::FrontService;
use http1::Request;
use partition::{AcceptRecord, AnswerRecord, Change, Entry, MessageState, PartitionState, PlaceRecord, Record};
use partition::{Retention, RouteFacts, Routes};
use proptest::prelude::*;
use rpc::messages::*;
use rpc::{Body, Responder};
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Number of partitions that are bound to no region.
const UNBOUND: u32 = 4;
const REGIONS: [&str; 2] = ["r1", "r2"];
/// Number of partitions of one region.
const PER_REGION: u32 = 2;
/// How long operations are kept.
const KEY_WINDOW_MS: u64 = 60_000;
/// Exclusive upper bound of the number of steps of a case.
const MAX_STEPS: usize = 40;
const FRONTS: usize = 2;
const OPERATIONS: u8 = 16;

/// How the owners handle calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerBehavior {
    Normal,
    /// Calls are executed, but the answers are lost.
    AnswersLost,
    /// Messages are refused because the store is full.
    Full,
}

/// Which fronts learn of a change immediately.
type Learners = [bool; FRONTS];

#[derive(Clone, Debug)]
struct RouteChoice {
    name: u8,
    is_inner: bool,
    is_metered: bool,
    is_sequenced: bool,
    /// Bit mask of the regions that the route is bound to.
    homes: u8,
}

#[derive(Clone, Debug)]
enum Step {
    /// The routes change.
    Configure(Vec<RouteChoice>, Learners),
    /// A region gets its partitions.
    AddPartitions(u8, Learners),
    /// A front learns the newest configuration and partitions.
    Learn(usize),
    /// All pending messages settle in the partitions whose id has this remainder modulo 3.
    Settle(u32),
    /// A client submits a message of an operation.
    Submit { front: usize, operation: u8, is_inner: bool, order_key: u8, behavior: OwnerBehavior },
}

fn route_choice() -> impl Strategy<Value = RouteChoice> {
    (0..3u8, any::<bool>(), any::<bool>(), proptest::bool::weighted(0.8), 0..4u8).prop_map(
        |(name, is_inner, is_metered, is_sequenced, homes)| RouteChoice {
            name,
            is_inner,
            is_metered,
            is_sequenced,
            homes,
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    let behavior = prop_oneof![
        6 => Just(OwnerBehavior::Normal),
        1 => Just(OwnerBehavior::AnswersLost),
        1 => Just(OwnerBehavior::Full),
    ];
    let order_key = prop_oneof![1 => Just(0u8), 4 => 1..3u8];
    let submission = (0..FRONTS, 0..OPERATIONS, any::<bool>(), order_key, behavior);
    let learners = || [proptest::bool::weighted(0.7), proptest::bool::weighted(0.7)];
    let routes = proptest::collection::vec(route_choice(), 1..4);
    prop_oneof![
        3 => (routes, learners()).prop_map(|(routes, learners)| Step::Configure(routes, learners)),
        1 => (0..2u8, learners()).prop_map(|(region, learners)| Step::AddPartitions(region, learners)),
        2 => (0..FRONTS).prop_map(Step::Learn),
        1 => (0..3u32).prop_map(Step::Settle),
        9 => submission.prop_map(|(front, operation, is_inner, order_key, behavior)| Step::Submit {
            front,
            operation,
            is_inner,
            order_key,
            behavior,
        }),
    ]
}

/// The mock owner of all partitions. Each record is committed as soon as it is written.
struct Store {
    partitions: HashMap<u32, PartitionState>,
    behavior: OwnerBehavior,
}

impl Store {
    fn handle(&mut self, body: Body, responder: Responder) {
        let accepted = match body {
            Body::Accept(accept) if self.behavior != OwnerBehavior::Full => {
                let generations = Some(accept.generations);
                let record = AcceptRecord { item: accept.item, delay_ms: 0, generations };
                self.write(accept.partition, Entry::Accept(record))
            }
            Body::Accept(_) => Accepted { outcome: AcceptOutcome::Full as i32, ..Accepted::default() },
            Body::Place(place) => self.place(place),
            _ => return,
        };
        if self.behavior != OwnerBehavior::AnswersLost {
            responder.send(Body::Accepted(accepted));
        }
    }

    /// Places a subject, or only looks it up if no partition is wanted.
    fn place(&mut self, place: Place) -> Accepted {
        let Place { partition, subject, wanted, generation, hold_ms, .. } = place;
        if let Some(wanted) = wanted {
            return self
                .write(partition, Entry::Place(PlaceRecord { partition: wanted, subject, generation, hold_ms }));
        }
        let subject = subject.expect("a subject");
        let state = self.state(partition);
        let stored = match &subject {
            PlacementSubject::Operation(operation) => state.find_operation(operation, 1),
            PlacementSubject::Order(_) => None,
        };
        let placed = state.placement_of(&subject, generation, 1);
        let outcome = match (placed, stored) {
            (Some(_), _) => AcceptOutcome::PlacedElsewhere,
            (None, Some(_)) => AcceptOutcome::Taken,
            (None, None) => AcceptOutcome::NotKnown,
        };
        let (partition, generation) = placed.map_or((0, 0), |placement| (placement.partition, placement.generation));
        let position = stored.unwrap_or(0);
        Accepted { outcome: outcome as i32, position, partition, generation, ..Accepted::default() }
    }

    fn state(&mut self, partition: u32) -> &mut PartitionState {
        let retention = Retention { status_ms: 1000, operations_ms: KEY_WINDOW_MS };
        self.partitions.entry(partition).or_insert_with(|| {
            let mut state = PartitionState::new(retention);
            let names = (0..3).flat_map(|name| [format!("outer-{name}"), format!("inner-{name}")]);
            let routes = names.map(|route| RouteFacts { route, tries: 1, retain_ms: 60_000 }).collect();
            let routes = Routes { revision: 1, routes, ..Routes::default() };
            state.apply(1, &Record { at_ms: 1, entry: Some(Entry::Routes(routes)) });
            state
        })
    }

    /// Commits a record, and returns the owner's answer.
    fn write(&mut self, partition: u32, entry: Entry) -> Accepted {
        let state = self.state(partition);
        let position = state.position + 1;
        let changes = state.apply(position, &Record { at_ms: 1, entry: Some(entry) });
        let answer = |outcome: AcceptOutcome| Accepted { outcome: outcome as i32, ..Accepted::default() };
        match changes.first() {
            Some(Change::Accepted(position) | Change::Duplicate { original: position, .. }) => {
                Accepted { position: *position, ..answer(AcceptOutcome::Taken) }
            }
            Some(Change::PlacedElsewhere { placement, .. }) => Accepted {
                partition: placement.partition,
                generation: placement.generation,
                ..answer(AcceptOutcome::PlacedElsewhere)
            },
            Some(Change::OrderPlacedElsewhere { .. }) => answer(AcceptOutcome::OrderPlacedElsewhere),
            Some(Change::StaysHere { .. }) => answer(AcceptOutcome::StaysHere),
            other => panic!("unexpected change of an accept or a placement: {other:?}"),
        }
    }

    /// Settles all pending messages of a partition.
    fn settle(&mut self, partition: u32) {
        let Some(state) = self.partitions.get_mut(&partition) else { return };
        for position in state.pending.clone() {
            let outcome = Outcome::Done as i32;
            let answer = AnswerRecord { position, outcome, result_tag: "s".into(), attempt: position };
            state.apply(state.position + 1, &Record { at_ms: 1, entry: Some(Entry::Answer(answer)) });
        }
    }

    /// The partitions that have pending messages of each order key.
    fn partitions_by_order_key(&self) -> HashMap<String, BTreeSet<u32>> {
        let mut orders: HashMap<String, BTreeSet<u32>> = HashMap::new();
        for (partition, state) in &self.partitions {
            let pending = state.messages.values().filter(|message| message.state == MessageState::Pending);
            for message in pending.filter(|message| !message.item.order_key.is_empty()) {
                orders.entry(message.item.order_key.clone()).or_default().insert(*partition);
            }
        }
        orders
    }

    /// The partitions that keep a message of each operation.
    fn partitions_by_operation(&self) -> HashMap<OperationId, Vec<u32>> {
        let mut operations: HashMap<OperationId, Vec<u32>> = HashMap::new();
        for (partition, state) in &self.partitions {
            for operation in state.messages.values().filter_map(|message| message.item.operation) {
                operations.entry(operation).or_default().push(*partition);
            }
        }
        operations
    }
}

fn configuration(revision: u64, choices: &[RouteChoice]) -> String {
    let mut prefixes = BTreeSet::new();
    let distinct = choices.iter().filter(|choice| prefixes.insert(choice.is_inner));
    let route = |choice: &RouteChoice| {
        let homes: Vec<&str> = (0..2).filter(|bit| choice.homes >> bit & 1 == 1).map(|bit| REGIONS[bit]).collect();
        let kind = if choice.is_inner { "inner" } else { "outer" };
        serde_json::json!({"name": format!("{kind}-{}", choice.name), "host": "h",
            "prefix": if choice.is_inner { "/a/b/" } else { "/a/" }, "mode": "deferred", "cutoffMs": 100,
            "setpointMs": 300, "tries": 3, "retainS": 9, "sequenced": choice.is_sequenced,
            "plant": if choice.is_metered { "metered" } else { "listed" }, "domains": homes})
    };
    let routes: Vec<_> = distinct.map(route).collect();
    serde_json::json!({"revision": revision, "channels": routes, "limits": {},
        "plants": [{"name": "listed"}, {"name": "metered", "flowPerS": 9}]})
    .to_string()
}

fn assignments(version: u64, regions: &BTreeSet<u8>) -> Assignments {
    let partitions_of = |home: &str, first: u32, count: u32| {
        let home = home.to_owned();
        (first..first + count).map(move |id| Partition {
            id,
            term: 1,
            owner: "s".into(),
            home: home.clone(),
            ..Partition::default()
        })
    };
    let bound = regions.iter().flat_map(|region| {
        partitions_of(REGIONS[usize::from(*region)], UNBOUND + PER_REGION * u32::from(*region), PER_REGION)
    });
    let partitions = partitions_of("", 0, UNBOUND).chain(bound).collect();
    Assignments { version, partitions, ..Assignments::default() }
}

/// Two fronts with a mock store.
struct Harness {
    fronts: Vec<Arc<FrontService>>,
    store: Arc<Mutex<Store>>,
    /// The newest view, which a front may not have learned yet.
    view: ClusterView,
    /// Regions that have partitions.
    regions: BTreeSet<u8>,
    version: u64,
    submissions: u32,
    /// The message name returned for each operation.
    names: HashMap<u8, String>,
}

impl Harness {
    async fn start() -> Harness {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let inner = listener.local_addr().expect("an address").to_string();
        let store = Arc::new(Mutex::new(Store { partitions: HashMap::new(), behavior: OwnerBehavior::Normal }));
        let handler = store.clone();
        tokio::spawn(rpc::serve(listener, Duration::from_secs(1), move |body, responder| {
            handler.lock().expect("not poisoned").handle(body, responder);
        }));
        let mut settings = Settings { zone: "x".into(), ..Settings::default() };
        settings.constraints.quiet_ms = 4000.0;
        settings.constraints.key_window_s = KEY_WINDOW_MS as f64 / 1000.0;
        let mut view = ClusterView::default();
        let node = Node { name: "s".into(), role: "store".into(), inner, ..Node::default() };
        view.take(&ViewUpdate {
            membership: Some(Membership { version: 1, nodes: vec![node], ..Membership::default() }),
            ..ViewUpdate::default()
        });
        let fronts = (0..FRONTS).map(|_| FrontService::new(settings.clone())).collect();
        let regions = BTreeSet::new();
        Harness { fronts, store, view, regions, version: 1, submissions: 0, names: HashMap::new() }
    }

    fn change(&mut self, configuration: Option<String>, learners: Learners) {
        self.version += 1;
        self.view.take(&ViewUpdate {
            configuration: configuration.map(Into::into),
            assignments: Some(assignments(self.version, &self.regions)),
            ..ViewUpdate::default()
        });
        (0..FRONTS).filter(|front| learners[*front]).for_each(|front| self.learn(front));
    }

    fn learn(&self, front: usize) {
        self.fronts[front].view.send_replace(self.view.clone());
    }

    /// Runs a step, and checks that each operation and each order key has one partition.
    async fn run(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Configure(choices, learners) => {
                let configuration = configuration(self.version + 1, choices);
                self.change(Some(configuration), *learners);
            }
            Step::AddPartitions(region, learners) => {
                self.regions.insert(*region);
                self.change(None, *learners);
            }
            Step::Learn(front) => self.learn(*front),
            Step::Settle(remainder) => {
                let all = 0..UNBOUND + PER_REGION * REGIONS.len() as u32;
                let mut store = self.store.lock().expect("not poisoned");
                all.filter(|partition| partition % 3 == *remainder).for_each(|partition| store.settle(partition));
            }
            Step::Submit { front, operation, is_inner, order_key, behavior } => {
                self.submit(*front, *operation, *is_inner, *order_key, *behavior).await?;
            }
        }
        let orders = self.store.lock().expect("not poisoned").partitions_by_order_key();
        prop_assert!(
            orders.values().all(|partitions| partitions.len() == 1),
            "order key in two partitions: {orders:?}"
        );
        let operations = self.store.lock().expect("not poisoned").partitions_by_operation();
        prop_assert!(
            operations.values().all(|partitions| partitions.len() == 1),
            "operation kept twice: {operations:?}"
        );
        Ok(())
    }

    /// Submits a message, and checks that all submissions of an operation get the same message name.
    async fn submit(
        &mut self,
        front: usize,
        operation: u8,
        is_inner: bool,
        order_key: u8,
        behavior: OwnerBehavior,
    ) -> Result<(), TestCaseError> {
        self.submissions += 1;
        self.store.lock().expect("not poisoned").behavior = behavior;
        let headers = [
            ("Host", "h".to_owned()),
            ("X-Attempt-Id", format!("m{}", self.submissions)),
            ("X-Operation-Key", format!("op{operation}")),
            ("X-Order-Key", ["", "k1", "k2"][usize::from(order_key)].to_owned()),
            ("X-Deadline-Ms", if behavior == OwnerBehavior::AnswersLost { "25" } else { "2000" }.to_owned()),
        ];
        let headers = headers.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
        let path = if is_inner { "/a/b/x" } else { "/a/x" };
        let request = Request { method: "POST".into(), path: path.into(), headers, ..Request::default() };
        let reply = self.fronts[front].accept_message(request).await;
        if reply.status == 202 {
            let name = reply.headers.iter().find(|(name, _)| *name == "X-Message-Name").map(|(_, value)| value.clone());
            let name = name.expect("a name").to_string();
            let first = self.names.entry(operation).or_insert_with(|| name.clone());
            prop_assert_eq!(&*first, &name);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Guards against an operation that runs twice (TWICE) and against lost order (ORDER). Both come about
    /// when the configuration or the partitions that decide where a message is stored change between two
    /// attempts at an operation, or between two messages of an order key.
    #[test]
    fn an_operation_is_kept_once_and_an_order_in_one_place_whatever_changes(
        steps in proptest::collection::vec(step(), 1..MAX_STEPS),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let result: Result<(), TestCaseError> = runtime.block_on(async {
            let mut harness = Harness::start().await;
            let routes = [false, true].map(|is_inner| RouteChoice {
                name: 0, is_inner, is_metered: false, is_sequenced: false, homes: 0,
            });
            harness.change(Some(configuration(1, &routes)), [true; FRONTS]);
            for step in &steps {
                harness.run(step).await?;
            }
            Ok(())
        });
        result?;
    }
}
