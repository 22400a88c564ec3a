//! Queries to a front outside of the home regions of a message.

mod common;

use config::Settings;
use front::FrontService;
use http1::{Reply, Request};
use rpc::Body;
use rpc::messages::*;
use std::sync::Arc;
use std::time::Duration;

const CONFIG: &str = r#"{"revision": 1, "channels": [
  {"name": "r", "host": "h", "prefix": "/a/", "mode": "deferred", "cutoffMs": 100, "setpointMs": 300, "plant": "p", "tries": 3, "retainS": 9, "domains": ["home"]}],
  "plants": [{"name": "p"}], "limits": {}, "tenants": null}"#;

/// A front in a region, with an owner that returns bodies to the region `home` only.
async fn front_in(region: &str) -> Arc<FrontService> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(rpc::serve(listener, Duration::from_secs(1), move |body, responder| {
        if let Body::Lookup(lookup) = body {
            let withheld = lookup.body && lookup.region != "home";
            let body = if withheld || !lookup.body { Vec::new() } else { b"bytes".to_vec() };
            let found =
                Found { owner: true, known: true, state: "pending".into(), host: "h".into(), ..Found::default() };
            responder.send(Body::Found(Found { body: body.into(), withheld, ..found }));
        }
    }));
    let mut settings = Settings { zone: "x".into(), region: region.into(), ..Settings::default() };
    settings.constraints.quiet_ms = 4000.0;
    settings.constraints.notify_s = 5.0;
    let front = FrontService::new(settings);
    front.view.send_replace(common::view(&address, CONFIG));
    front
}

async fn get(front: &Arc<FrontService>, path: &str) -> Reply {
    let headers = vec![("Host".to_owned(), "h".to_owned())];
    let request = Request { method: "GET".into(), path: path.into(), headers, ..Request::default() };
    front.clone().answer(request).await
}

#[tokio::test(flavor = "current_thread")]
async fn a_body_is_returned_only_in_its_home_region_and_a_state_everywhere() {
    let home = front_in("home").await;
    let reply = get(&home, "/message-body/2-7").await;
    assert_eq!((reply.status, reply.body.as_ref()), (200, b"bytes".as_ref()));
    let away = front_in("away").await;
    let reply = get(&away, "/message-body/2-7").await;
    let has_retry_after = reply.headers.iter().any(|(name, _)| *name == "Retry-After");
    assert_eq!((reply.status, has_retry_after), (503, true), "the body is neither returned nor reported as unknown");
    assert_eq!(get(&away, "/message/2-7").await.status, 200);
}
