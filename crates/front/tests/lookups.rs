//! Whom a front asks for the state and the body of a message.

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

/// A store node that answers look-ups so; its address.
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

/// A front that knows one partition: its owner and another copy, at these addresses.
fn front_of(owner: &str, copy: &str) -> Arc<FrontService> {
    let mut settings = Settings { zone: "x".into(), ..Settings::default() };
    settings.constraints.quiet_ms = 4000.0;
    settings.constraints.notify_s = 5.0;
    let front = FrontService::new(settings);
    let mut view = common::view(owner, CONFIG);
    let nodes = [("s1", owner), ("s2", copy)].map(|(name, inner)| Node {
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

fn copy_of(state: &str, host: &str) -> Found {
    Found { known: true, state: state.into(), host: host.into(), body: "bytes".into(), ..Found::default() }
}

async fn ask(front: &Arc<FrontService>, path: &str) -> Reply {
    let headers = vec![("Host".to_owned(), "h".to_owned())];
    let request = Request { method: "GET".into(), path: path.into(), headers, ..Request::default() };
    front.clone().answer(request).await
}

/// Guards against LOST: a body did not come back while its partition had no owner, though another
/// machine held it.
#[tokio::test(flavor = "current_thread")]
async fn a_body_comes_from_any_copy_and_a_state_from_the_owner_alone() {
    let refusing = store(Found::default()).await;
    let copy = store(copy_of("pending", "h")).await;
    for owner in [refusing, "127.0.0.1:1".to_owned()] {
        let front = front_of(&owner, &copy);
        let reply = ask(&front, "/message-body/2-7").await;
        assert_eq!((reply.status, reply.body.as_ref()), (200, b"bytes".as_ref()));
        assert_eq!(ask(&front, "/message/2-7").await.status, 503, "a copy may be behind");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_copy_gives_no_body_to_another_host_and_none_that_is_settled() {
    let refusing = store(Found::default()).await;
    let foreign = store(copy_of("pending", "other")).await;
    assert_eq!(ask(&front_of(&refusing, &foreign), "/message-body/2-7").await.status, 404);
    let settled = store(copy_of("settled", "h")).await;
    assert_eq!(ask(&front_of(&refusing, &settled), "/message-body/2-7").await.status, 404);
    let ignorant = store(Found::default()).await;
    let reply = ask(&front_of(&refusing, &ignorant), "/message-body/2-7").await;
    assert_eq!(reply.status, 503, "a copy does not say that there is no such message");
}

/// The owner's word that there is no such message stands, whatever copies say.
#[tokio::test(flavor = "current_thread")]
async fn an_owner_that_knows_of_no_such_message_is_believed() {
    let owner = store(Found { owner: true, ..Found::default() }).await;
    let copy = store(copy_of("pending", "h")).await;
    assert_eq!(ask(&front_of(&owner, &copy), "/message-body/2-7").await.status, 404);
}
