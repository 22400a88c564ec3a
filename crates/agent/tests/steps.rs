//! A process follows the configuration by what changed of it.

use agent::ClusterView;
use config::{adjust, canonical};
use rpc::fingerprint;
use rpc::messages::{ConfigurationStep, Membership, Node, ViewUpdate, ViewVersions};

fn change(revision: u64, timeout: u64) -> Vec<u8> {
    let route = format!(r#"{{"name":"r1","host":"h","prefix":"/a/","plant":"p","cutoffMs":{timeout}}}"#);
    format!(r#"{{"revision":{revision},"upsert":{{"channels":[{route}]}}}}"#).into_bytes()
}

#[test]
fn changes_are_taken_in_order_and_a_gap_is_filled_with_the_whole() {
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
    assert!(k.take(&ViewUpdate { steps: steps[..3].to_vec(), ..ViewUpdate::default() }), "three together");
    assert_eq!((k.configuration.revision, k.configuration.route_named("r1").expect("it").timeout_ms), (4, 40.0));
    // Heard again, and then out of order: the rest only.
    assert!(k.take(&ViewUpdate { steps: steps.clone(), ..ViewUpdate::default() }));
    assert_eq!((k.configuration.revision, k.json.clone()), (5, whole.clone().into()));
    // Passed on to one that is a little behind as changes, to a newcomer whole.
    assert_eq!(k.news_for(&ViewVersions { configuration: 3, ..ViewVersions::default() }).steps.len(), 2);
    assert!(k.news_for(&ViewVersions::default()).configuration.is_some());
    // A gap, or another print: nothing is guessed.
    for bad in [
        ConfigurationStep { since: 6, revision: 7, change: change(7, 1).into(), fingerprint: 0 },
        ConfigurationStep { since: 5, revision: 6, change: change(6, 1).into(), fingerprint: 0 },
    ] {
        let mut k = k.clone();
        assert!(!k.take(&ViewUpdate { steps: vec![bad], ..ViewUpdate::default() }));
        assert_eq!((k.configuration.revision, k.have().configuration), (5, 0), "the whole is asked for");
        assert!(k.take(&ViewUpdate { configuration: Some(whole.clone().into()), ..ViewUpdate::default() }));
        assert_eq!(k.have().configuration, 5);
    }
}

#[tokio::test]
async fn a_former_membership_serves_until_any_leader_tells_the_current_one() {
    let node = |name: &str| Node { name: name.into(), role: "store".into(), ..Node::default() };
    let settings = config::Settings { port_range: vec![1, 4], ..config::Settings::default() };
    let session = agent::Session::new(settings, node("s1"), rpc::RpcClients::new(std::time::Duration::from_secs(1)));
    let former = Membership { version: 900, nodes: vec![node("s1"), node("s2")], ..Membership::default() };
    session.begin_with(former);
    assert!(session.with_known(|k| k.node("s2", "store").is_some()), "reached before a leader tells of it");
    assert_eq!(session.with_known(|k| k.have().membership), 0, "and asked for as if nothing were known");
    // Also one of a lower version, as from control nodes that begin anew.
    let told = Membership { version: 3, nodes: vec![node("s1")], ..Membership::default() };
    assert!(session.take(&ViewUpdate { membership: Some(told), ..ViewUpdate::default() }));
    assert!(session.with_known(|k| k.node("s2", "store").is_none()));
}
