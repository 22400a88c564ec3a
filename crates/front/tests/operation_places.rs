//! Tries at one operation against stand-in owners that fold real records, while routes, services,
//! order, homes and partitions change between them.

use agent::ClusterView;
use config::Settings;
use front::FrontService;
use http1::Request;
use partition::{AcceptRecord, Entry, PartitionState, PlaceRecord, Record, Retention, RouteFacts, Routes};
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
const STEPS: usize = 30;

/// What an owner does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owners {
    Sound,
    /// Carried out, and the answer is lost.
    AnswersLost,
    /// Accepts are refused for want of room.
    Full,
}

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
    Configure(Vec<RouteChoice>),
    /// A region gets its partitions.
    Partitions(u8),
    Try {
        operation: u8,
        is_inner: bool,
        order_key: u8,
        owners: Owners,
    },
}

fn route_choice() -> impl Strategy<Value = RouteChoice> {
    (0..3u8, any::<bool>(), any::<bool>(), any::<bool>(), 0..4u8).prop_map(
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
    let attempt = (0..4u8, any::<bool>(), 0..3u8, owners);
    prop_oneof![
        2 => proptest::collection::vec(route_choice(), 1..3).prop_map(Step::Configure),
        1 => (0..2u8).prop_map(Step::Partitions),
        7 => attempt.prop_map(|(operation, is_inner, order_key, owners)| Step::Try {
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
                let record = AcceptRecord { item: accept.item, delay_ms: 0 };
                self.write(accept.partition, Entry::Accept(record))
            }
            Body::Accept(_) => Accepted { outcome: AcceptOutcome::Full as i32, ..Accepted::default() },
            Body::PlaceOperation(place) => self.place(place),
            _ => return,
        };
        if self.owners != Owners::AnswersLost {
            responder.send(Body::Accepted(accepted));
        }
    }

    fn place(&mut self, place: PlaceOperation) -> Accepted {
        let PlaceOperation { partition, operation, wanted, .. } = place;
        if let Some(wanted) = wanted {
            return self.write(partition, Entry::Place(PlaceRecord { operation, partition: wanted }));
        }
        let state = self.state(partition);
        let known = state.find_operation(&operation, 1);
        let placed = state.placement_of(&operation, 1);
        let outcome = match (known, placed) {
            (Some(_), _) => AcceptOutcome::Taken,
            (None, Some(_)) => AcceptOutcome::PlacedElsewhere,
            (None, None) => AcceptOutcome::NotKnown,
        };
        let partition = placed.map_or(0, |placement| placement.partition);
        Accepted { outcome: outcome as i32, position: known.unwrap_or(0), partition, ..Accepted::default() }
    }

    fn state(&mut self, partition: u32) -> &mut PartitionState {
        let retention = Retention { status: 1000, operations: WINDOW_MS };
        self.partitions.entry(partition).or_insert_with(|| {
            let mut state = PartitionState::new(retention);
            let names = (0..3).flat_map(|name| [format!("outer-{name}"), format!("inner-{name}")]);
            let routes = names.map(|route| RouteFacts { route, tries: 1, retain_ms: 60_000 }).collect();
            let routes = Routes { revision: 1, routes, ..Routes::default() };
            state.fold(1, &Record { at_ms: 1, entry: Some(Entry::Routes(routes)) });
            state
        })
    }

    fn write(&mut self, partition: u32, entry: Entry) -> Accepted {
        let state = self.state(partition);
        let position = state.position + 1;
        let changes = state.fold(position, &Record { at_ms: 1, entry: Some(entry) });
        let (outcome, position, partition) = match changes.first() {
            Some(partition::Change::Accepted(position)) => (AcceptOutcome::Taken, *position, 0),
            Some(partition::Change::Repeated { old, .. }) => (AcceptOutcome::Taken, *old, 0),
            Some(partition::Change::PlacedElsewhere { partition, .. }) => {
                (AcceptOutcome::PlacedElsewhere, 0, *partition)
            }
            other => panic!("an accept or a placement makes {other:?}"),
        };
        Accepted { outcome: outcome as i32, position, partition, ..Accepted::default() }
    }

    /// In which partitions each operation is kept.
    fn kept(&self) -> HashMap<OperationId, Vec<u32>> {
        let mut kept: HashMap<OperationId, Vec<u32>> = HashMap::new();
        for (partition, state) in &self.partitions {
            for operation in state.pieces.values().filter_map(|message| message.item.operation) {
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
    front: Arc<FrontService>,
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
        let front = FrontService::new(settings);
        World { front, store, view, regions: BTreeSet::new(), version: 1, tries: 0, names: HashMap::new() }
    }

    fn learn(&mut self, configuration: Option<String>) {
        self.version += 1;
        self.view.take(&ViewUpdate {
            configuration: configuration.map(Into::into),
            assignments: Some(assignments(self.version, &self.regions)),
            ..ViewUpdate::default()
        });
        self.front.known.send_replace(self.view.clone());
    }

    async fn play(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Configure(choices) => {
                let configuration = configuration(self.version + 1, choices);
                self.learn(Some(configuration));
            }
            Step::Partitions(region) => {
                self.regions.insert(*region);
                self.learn(None);
            }
            Step::Try { operation, is_inner, order_key, owners } => {
                self.attempt(*operation, *is_inner, *order_key, *owners).await?;
            }
        }
        let kept = self.store.lock().expect("not poisoned").kept();
        prop_assert!(kept.values().all(|partitions| partitions.len() == 1), "kept twice: {kept:?}");
        Ok(())
    }

    async fn attempt(
        &mut self,
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
        let reply = self.front.take(request).await;
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

    /// Guards against TWICE: whatever decides where a message is kept changes between two tries.
    #[test]
    fn an_operation_is_kept_once_whatever_changes_between_its_tries(
        steps in proptest::collection::vec(step(), 1..STEPS),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let played: Result<(), TestCaseError> = runtime.block_on(async {
            let mut world = World::start().await;
            let all = [false, true].map(|is_inner| RouteChoice {
                name: 0, is_inner, is_metered: false, is_sequenced: false, homes: 0,
            });
            world.learn(Some(configuration(1, &all)));
            for step in &steps {
                world.play(step).await?;
            }
            Ok(())
        });
        played?;
    }
}
