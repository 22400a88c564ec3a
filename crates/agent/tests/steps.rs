//! A process updates its configuration from incremental changes.

use agent::ClusterView;
use config::{adjust, canonical};
use rpc::fingerprint;
use rpc::messages::{ConfigurationStep, Membership, Node, ViewUpdate, ViewVersions};

fn change(revision: u64, timeout: u64) -> Vec<u8> {
    let route = format!(r#"{{"name":"r1","host":"h","prefix":"/a/","plant":"p","cutoffMs":{timeout}}}"#);
    format!(r#"{{"revision":{revision},"upsert":{{"channels":[{route}]}}}}"#).into_bytes()
}

#[test]
fn changes_are_applied_in_order_and_a_gap_requests_the_complete_configuration() {
    let routes: Vec<String> = (0..40)
        .map(|n| format!(r#"{{"name":"r{n}","host":"h","prefix":"/a{n}/","plant":"p","cutoffMs":9}}"#))
        .collect();
    let base = format!(r#"{{"revision":1,"channels":[{}],"plants":[{{"name":"p"}}],"limits":{{}}}}"#, routes.join(","));
    let mut whole = canonical(base.as_bytes()).expect("read");
    let mut k = ClusterView::default();
    assert!(k.take(&ViewUpdate { configuration: Some(whole.clone().into()), ..ViewUpdate::default() }));
    let mut steps = Vec::new();
    for n in 2..6u64 {
        let c = change(n, 10 * n);
        whole = adjust(&whole, &c).expect("applies");
        steps.push(ConfigurationStep { since: n - 1, revision: n, change: c.into(), fingerprint: fingerprint(&whole) });
    }
    assert!(k.take(&ViewUpdate { steps: steps[..3].to_vec(), ..ViewUpdate::default() }), "three changes in one update");
    assert_eq!((k.configuration.revision, k.configuration.route_named("r1").expect("it").timeout_ms), (4, 40.0));
    // Changes that were applied before are skipped.
    assert!(k.take(&ViewUpdate { steps: steps.clone(), ..ViewUpdate::default() }));
    assert_eq!((k.configuration.revision, k.json.clone()), (5, whole.clone().into()));
    // Forwarded as changes to a process slightly behind, and complete to a new process.
    assert_eq!(k.news_for(&ViewVersions { configuration: 3, ..ViewVersions::default() }).steps.len(), 2);
    assert!(k.news_for(&ViewVersions::default()).configuration.is_some());
    // A gap or a wrong fingerprint: the change is refused.
    for bad in [
        ConfigurationStep { since: 6, revision: 7, change: change(7, 1).into(), fingerprint: 0 },
        ConfigurationStep { since: 5, revision: 6, change: change(6, 1).into(), fingerprint: 0 },
    ] {
        let mut k = k.clone();
        assert!(!k.take(&ViewUpdate { steps: vec![bad], ..ViewUpdate::default() }));
        assert_eq!(
            (k.configuration.revision, k.have().configuration),
            (5, 0),
            "the complete configuration is requested"
        );
        assert!(k.take(&ViewUpdate { configuration: Some(whole.clone().into()), ..ViewUpdate::default() }));
        assert_eq!(k.have().configuration, 5);
    }
}

#[tokio::test]
async fn a_previous_membership_is_used_until_a_leader_sends_the_current_one() {
    let node = |name: &str| Node { name: name.into(), role: "store".into(), ..Node::default() };
    let settings = config::Settings { port_range: vec![1, 4], ..config::Settings::default() };
    let session = agent::Session::new(settings, node("s1"), rpc::RpcClients::new(std::time::Duration::from_secs(1)));
    let previous = Membership { version: 900, nodes: vec![node("s1"), node("s2")], ..Membership::default() };
    session.begin_with(previous);
    assert!(session.with_known(|k| k.node("s2", "store").is_some()), "reachable before a leader has sent it");
    assert_eq!(session.with_known(|k| k.have().membership), 0, "requested as if no membership were known");
    // A lower version also replaces it, as sent by control nodes that start anew.
    let current = Membership { version: 3, nodes: vec![node("s1")], ..Membership::default() };
    assert!(session.take(&ViewUpdate { membership: Some(current), ..ViewUpdate::default() }));
    assert!(session.with_known(|k| k.node("s2", "store").is_none()));
}
