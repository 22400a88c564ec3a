//! Operations and order keys against stand-in owners that fold real records, while routes,
//! services, order, homes and partitions change, which two fronts learn at their own times.

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

/// Partitions that are bound to no region.
const UNBOUND: u32 = 4;
const REGIONS: [&str; 2] = ["r1", "r2"];
/// Partitions of one region.
const PER_REGION: u32 = 2;
const WINDOW_MS: u64 = 60_000;
/// The most configurations, memberships and tries of one case.
const STEPS: usize = 40;
const FRONTS: usize = 2;
const OPERATIONS: u8 = 16;

/// What an owner does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owners {
    Sound,
    /// Carried out, and the answer is lost.
    AnswersLost,
    /// Accepts are refused for want of room.
    Full,
}

/// Which fronts learn a change at once.
type Learners = [bool; FRONTS];

#[derive(Clone, Debug)]
struct RouteChoice {
    name: u8,
    is_inner: bool,
    is_metered: bool,
    is_sequenced: bool,
    /// A bit for each region that it is bound to.
    homes: u8,
}

#[derive(Clone, Debug)]
enum Step {
    Configure(Vec<RouteChoice>, Learners),
    /// A region gets its partitions.
    Partitions(u8, Learners),
    /// A front learns the newest configuration and partitions.
    Learn(usize),
    /// All messages that are under way in partitions of this remainder end.
    Settle(u32),
    Try {
        front: usize,
        operation: u8,
        is_inner: bool,
        order_key: u8,
        owners: Owners,
    },
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
    let owners = prop_oneof![6 => Just(Owners::Sound), 1 => Just(Owners::AnswersLost), 1 => Just(Owners::Full)];
    let order_key = prop_oneof![1 => Just(0u8), 4 => 1..3u8];
    let attempt = (0..FRONTS, 0..OPERATIONS, any::<bool>(), order_key, owners);
    let learners = || [proptest::bool::weighted(0.7), proptest::bool::weighted(0.7)];
    let routes = proptest::collection::vec(route_choice(), 1..4);
    prop_oneof![
        3 => (routes, learners()).prop_map(|(routes, learners)| Step::Configure(routes, learners)),
        1 => (0..2u8, learners()).prop_map(|(region, learners)| Step::Partitions(region, learners)),
        2 => (0..FRONTS).prop_map(Step::Learn),
        1 => (0..3u32).prop_map(Step::Settle),
        9 => attempt.prop_map(|(front, operation, is_inner, order_key, owners)| Step::Try {
            front,
            operation,
            is_inner,
            order_key,
            owners,
        }),
    ]
}

/// The store of all partitions: each record is committed as it is written.
struct Store {
    partitions: HashMap<u32, PartitionState>,
    owners: Owners,
}

impl Store {
    fn handle(&mut self, body: Body, responder: Responder) {
        let accepted = match body {
            Body::Accept(accept) if self.owners != Owners::Full => {
                let generations = Some(accept.generations);
                let record = AcceptRecord { item: accept.item, delay_ms: 0, generations };
                self.write(accept.partition, Entry::Accept(record))
            }
            Body::Accept(_) => Accepted { outcome: AcceptOutcome::Full as i32, ..Accepted::default() },
            Body::Place(place) => self.place(place),
            _ => return,
        };
        if self.owners != Owners::AnswersLost {
            responder.send(Body::Accepted(accepted));
        }
    }

    fn place(&mut self, place: Place) -> Accepted {
        let Place { partition, subject, wanted, generation, hold_ms, .. } = place;
        if let Some(wanted) = wanted {
            return self
                .write(partition, Entry::Place(PlaceRecord { partition: wanted, subject, generation, hold_ms }));
        }
        let subject = subject.expect("one");
        let state = self.state(partition);
        let known = match &subject {
            PlacementSubject::Operation(operation) => state.find_operation(operation, 1),
            PlacementSubject::Order(_) => None,
        };
        let placed = state.placement_of(&subject, generation, 1);
        let outcome = match (placed, known) {
            (Some(_), _) => AcceptOutcome::PlacedElsewhere,
            (None, Some(_)) => AcceptOutcome::Taken,
            (None, None) => AcceptOutcome::NotKnown,
        };
        let (partition, generation) = placed.map_or((0, 0), |placement| (placement.partition, placement.generation));
        let position = known.unwrap_or(0);
        Accepted { outcome: outcome as i32, position, partition, generation, ..Accepted::default() }
    }

    fn state(&mut self, partition: u32) -> &mut PartitionState {
        let retention = Retention { status_ms: 1000, operations_ms: WINDOW_MS };
        self.partitions.entry(partition).or_insert_with(|| {
            let mut state = PartitionState::new(retention);
            let names = (0..3).flat_map(|name| [format!("outer-{name}"), format!("inner-{name}")]);
            let routes = names.map(|route| RouteFacts { route, tries: 1, retain_ms: 60_000 }).collect();
            let routes = Routes { revision: 1, routes, ..Routes::default() };
            state.apply(1, &Record { at_ms: 1, entry: Some(Entry::Routes(routes)) });
            state
        })
    }

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
            other => panic!("an accept or a placement makes {other:?}"),
        }
    }

    /// Ends all messages that are under way in a partition.
    fn settle(&mut self, partition: u32) {
        let Some(state) = self.partitions.get_mut(&partition) else { return };
        for position in state.pending.clone() {
            let outcome = Outcome::Done as i32;
            let answer = AnswerRecord { position, outcome, result_tag: "s".into(), attempt: position };
            state.apply(state.position + 1, &Record { at_ms: 1, entry: Some(Entry::Answer(answer)) });
        }
    }

    /// In which partitions messages of each order key are under way.
    fn orders_under_way(&self) -> HashMap<String, BTreeSet<u32>> {
        let mut orders: HashMap<String, BTreeSet<u32>> = HashMap::new();
        for (partition, state) in &self.partitions {
            let pending = state.messages.values().filter(|message| message.state == MessageState::Pending);
            for message in pending.filter(|message| !message.item.order_key.is_empty()) {
                orders.entry(message.item.order_key.clone()).or_default().insert(*partition);
            }
        }
        orders
    }

    /// In which partitions each operation is kept.
    fn kept(&self) -> HashMap<OperationId, Vec<u32>> {
        let mut kept: HashMap<OperationId, Vec<u32>> = HashMap::new();
        for (partition, state) in &self.partitions {
            for operation in state.messages.values().filter_map(|message| message.item.operation) {
                kept.entry(operation).or_default().push(*partition);
            }
        }
        kept
    }
}

fn configuration(revision: u64, choices: &[RouteChoice]) -> String {
    let mut prefixes = BTreeSet::new();
    let distinct = choices.iter().filter(|choice| prefixes.insert(choice.is_inner));
    let route = |choice: &RouteChoice| {
        let homes: Vec<&str> = (0..2).filter(|bit| choice.homes >> bit & 1 == 1).map(|bit| REGIONS[bit]).collect();
        let place = if choice.is_inner { "inner" } else { "outer" };
        serde_json::json!({"name": format!("{place}-{}", choice.name), "host": "h",
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
    let of = |home: &str, first: u32, count: u32| {
        let home = home.to_owned();
        (first..first + count).map(move |id| Partition {
            id,
            term: 1,
            owner: "s".into(),
            home: home.clone(),
            ..Partition::default()
        })
    };
    let bound =
        regions.iter().flat_map(|r| of(REGIONS[usize::from(*r)], UNBOUND + PER_REGION * u32::from(*r), PER_REGION));
    let partitions = of("", 0, UNBOUND).chain(bound).collect();
    Assignments { version, partitions, ..Assignments::default() }
}

/// A front with its stand-in owners.
struct World {
    fronts: Vec<Arc<FrontService>>,
    store: Arc<Mutex<Store>>,
    view: ClusterView,
    regions: BTreeSet<u8>,
    version: u64,
    tries: u32,
    /// The name that was told of each operation.
    names: HashMap<u8, String>,
}

impl World {
    async fn start() -> World {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let inner = listener.local_addr().expect("an address").to_string();
        let store = Arc::new(Mutex::new(Store { partitions: HashMap::new(), owners: Owners::Sound }));
        let asked = store.clone();
        tokio::spawn(rpc::serve(listener, Duration::from_secs(1), move |body, responder| {
            asked.lock().expect("not poisoned").handle(body, responder);
        }));
        let mut settings = Settings { zone: "x".into(), ..Settings::default() };
        settings.constraints.quiet_ms = 4000.0;
        settings.constraints.key_window_s = WINDOW_MS as f64 / 1000.0;
        let mut view = ClusterView::default();
        let node = Node { name: "s".into(), role: "store".into(), inner, ..Node::default() };
        view.take(&ViewUpdate {
            membership: Some(Membership { version: 1, nodes: vec![node], ..Membership::default() }),
            ..ViewUpdate::default()
        });
        let fronts = (0..FRONTS).map(|_| FrontService::new(settings.clone())).collect();
        let regions = BTreeSet::new();
        World { fronts, store, view, regions, version: 1, tries: 0, names: HashMap::new() }
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

    async fn play(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Configure(choices, learners) => {
                let configuration = configuration(self.version + 1, choices);
                self.change(Some(configuration), *learners);
            }
            Step::Partitions(region, learners) => {
                self.regions.insert(*region);
                self.change(None, *learners);
            }
            Step::Learn(front) => self.learn(*front),
            Step::Settle(remainder) => {
                let all = 0..UNBOUND + PER_REGION * REGIONS.len() as u32;
                let mut store = self.store.lock().expect("not poisoned");
                all.filter(|partition| partition % 3 == *remainder).for_each(|partition| store.settle(partition));
            }
            Step::Try { front, operation, is_inner, order_key, owners } => {
                self.attempt(*front, *operation, *is_inner, *order_key, *owners).await?;
            }
        }
        let orders = self.store.lock().expect("not poisoned").orders_under_way();
        prop_assert!(orders.values().all(|partitions| partitions.len() == 1), "in two partitions: {orders:?}");
        let kept = self.store.lock().expect("not poisoned").kept();
        prop_assert!(kept.values().all(|partitions| partitions.len() == 1), "kept twice: {kept:?}");
        Ok(())
    }

    async fn attempt(
        &mut self,
        front: usize,
        operation: u8,
        is_inner: bool,
        order_key: u8,
        owners: Owners,
    ) -> Result<(), TestCaseError> {
        self.tries += 1;
        self.store.lock().expect("not poisoned").owners = owners;
        let headers = [
            ("Host", "h".to_owned()),
            ("X-Attempt-Id", format!("m{}", self.tries)),
            ("X-Operation-Key", format!("op{operation}")),
            ("X-Order-Key", ["", "k1", "k2"][usize::from(order_key)].to_owned()),
            ("X-Deadline-Ms", if owners == Owners::AnswersLost { "25" } else { "2000" }.to_owned()),
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

    /// Guards against TWICE and ORDER: whatever decides where a message is kept changes between two
    /// tries, or between two messages of an order key.
    #[test]
    fn an_operation_is_kept_once_and_an_order_in_one_place_whatever_changes(
        steps in proptest::collection::vec(step(), 1..STEPS),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let played: Result<(), TestCaseError> = runtime.block_on(async {
            let mut world = World::start().await;
            let all = [false, true].map(|is_inner| RouteChoice {
                name: 0, is_inner, is_metered: false, is_sequenced: false, homes: 0,
            });
            world.change(Some(configuration(1, &all)), [true; FRONTS]);
            for step in &steps {
                world.play(step).await?;
            }
            Ok(())
        });
        played?;
    }
}
