//! Which nodes a front queries for the state and the body of a message.

mod common;

use config::Settings;
use front::FrontService;
use http1::{Reply, Request};
use rpc::Body;
use rpc::messages::*;
use std::sync::Arc;
use std::time::Duration;

const CONFIG: &str = r#"{"revision": 1, "channels": [
  {"name": "r", "host": "h", "prefix": "/a/", "mode": "deferred", "cutoffMs": 100, "setpointMs": 300, "plant": "p", "tries": 3, "retainS": 9}],
  "plants": [{"name": "p"}], "limits": {}}"#;

/// Starts a store node that answers lookups with `found`, and returns its address.
async fn store(found: Found) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(rpc::serve(listener, Duration::from_secs(1), move |body, responder| {
        if let Body::Lookup(lookup) = body {
            let bytes = if lookup.body { found.body.clone() } else { Default::default() };
            responder.send(Body::Found(Found { body: bytes, ..found.clone() }));
        }
    }));
    address
}

/// A front that knows one partition, with its owner and another replica at these addresses.
fn front_of(owner: &str, replica: &str) -> Arc<FrontService> {
    let mut settings = Settings { zone: "x".into(), ..Settings::default() };
    settings.constraints.quiet_ms = 4000.0;
    settings.constraints.notify_s = 5.0;
    let front = FrontService::new(settings);
    let mut view = common::view(owner, CONFIG);
    let nodes = [("s1", owner), ("s2", replica)].map(|(name, inner)| Node {
        name: name.into(),
        role: "store".into(),
        inner: inner.into(),
        ..Node::default()
    });
    let names = vec!["s1".to_owned(), "s2".to_owned()];
    let partition = Partition {
        id: 2,
        term: 2,
        owner: "s1".into(),
        replicas: names.clone(),
        in_sync: names,
        ..Partition::default()
    };
    view.take(&ViewUpdate {
        assignments: Some(Assignments { version: 2, partitions: vec![partition], ..Assignments::default() }),
        membership: Some(Membership { version: 2, nodes: nodes.to_vec(), ..Membership::default() }),
        ..ViewUpdate::default()
    });
    front.view.send_replace(view);
    front
}

fn found(state: &str, host: &str) -> Found {
    Found { known: true, state: state.into(), host: host.into(), body: "bytes".into(), ..Found::default() }
}

async fn get(front: &Arc<FrontService>, path: &str) -> Reply {
    let headers = vec![("Host".to_owned(), "h".to_owned())];
    let request = Request { method: "GET".into(), path: path.into(), headers, ..Request::default() };
    front.clone().answer(request).await
}

/// Guards against a lost body (LOST): while its partition had no owner, a body was not returned although
/// another machine held it.
#[tokio::test(flavor = "current_thread")]
async fn a_body_comes_from_any_copy_and_a_state_from_the_owner_alone() {
    let not_owner = store(Found::default()).await;
    let replica = store(found("pending", "h")).await;
    for owner in [not_owner, "127.0.0.1:1".to_owned()] {
        let front = front_of(&owner, &replica);
        let reply = get(&front, "/message-body/2-7").await;
        assert_eq!((reply.status, reply.body.as_ref()), (200, b"bytes".as_ref()));
        assert_eq!(get(&front, "/message/2-7").await.status, 503, "a replica may lag behind");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_replica_returns_no_body_to_another_host_and_none_of_a_settled_message() {
    let not_owner = store(Found::default()).await;
    let other_host = store(found("pending", "other")).await;
    assert_eq!(get(&front_of(&not_owner, &other_host), "/message-body/2-7").await.status, 404);
    let settled = store(found("settled", "h")).await;
    assert_eq!(get(&front_of(&not_owner, &settled), "/message-body/2-7").await.status, 404);
    let without_message = store(Found::default()).await;
    let reply = get(&front_of(&not_owner, &without_message), "/message-body/2-7").await;
    assert_eq!(reply.status, 503, "a replica cannot tell that there is no such message");
}

/// A not-found answer of the owner holds even if a replica returns the message.
#[tokio::test(flavor = "current_thread")]
async fn a_not_found_answer_of_the_owner_is_final() {
    let owner = store(Found { owner: true, ..Found::default() }).await;
    let replica = store(found("pending", "h")).await;
    assert_eq!(get(&front_of(&owner, &replica), "/message-body/2-7").await.status, 404);
}
