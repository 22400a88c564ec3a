//! How a process receives and forwards the confirmed age of its configuration.

use agent::ClusterView;
use rpc::messages::*;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"revision": 3, "channels": [], "plants": [], "limits": {}}"#;

fn answer(revision: u64, configuration_age_ms: Option<u64>) -> ViewUpdate {
    let have = ViewVersions { configuration: revision, ..ViewVersions::default() };
    ViewUpdate { have, configuration_age_ms, ..ViewUpdate::default() }
}

fn at_revision_three() -> ClusterView {
    let mut view = ClusterView::default();
    view.take(&ViewUpdate { configuration: Some(CONFIG.into()), ..answer(3, None) });
    view
}

#[test]
fn the_confirmed_age_only_grows_when_forwarded() {
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let mut agent = at_revision_three();
    agent.take_answer(&answer(3, Some(200)), after(1000));
    let news = agent.proven_news_for(&ViewVersions::default(), after(1700));
    assert_eq!((news.have.configuration, news.configuration_age_ms), (3, Some(900)));
    // The requester counts from the time of its request, however long the response took.
    let mut front = at_revision_three();
    front.take_answer(&news, after(2000));
    assert_eq!(front.freshness.age(after(5000)), Some(Duration::from_millis(3900)));
}

#[test]
fn a_confirmation_received_after_the_request_has_age_zero() {
    let start = Instant::now();
    let mut agent = at_revision_three();
    agent.take_answer(&answer(3, Some(0)), start + Duration::from_millis(600));
    let news = agent.proven_news_for(&ViewVersions::default(), start);
    assert_eq!(news.configuration_age_ms, Some(0));
}

#[test]
fn no_age_is_reported_without_a_confirmation() {
    let mut view = at_revision_three();
    view.take_answer(&answer(3, None), Instant::now());
    assert_eq!(view.proven_news_for(&ViewVersions::default(), Instant::now()).configuration_age_ms, None);
}

#[test]
fn a_confirmation_of_a_newer_revision_takes_effect_when_that_revision_is_received() {
    let start = Instant::now();
    let mut view = at_revision_three();
    view.take_answer(&answer(4, Some(0)), start);
    assert_eq!(view.freshness.age(start), None);
    let newer = CONFIG.replace("\"revision\": 3", "\"revision\": 4");
    view.take(&ViewUpdate { configuration: Some(newer.into()), ..answer(4, None) });
    assert_eq!(view.freshness.age(start), Some(Duration::ZERO));
}
