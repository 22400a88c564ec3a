//! What a process learns, and passes on, of how fresh its configuration is.

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
fn a_statement_only_grows_older_on_its_way() {
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let mut agent = at_revision_three();
    agent.take_answer(&answer(3, Some(200)), after(1000));
    let news = agent.proven_news_for(&ViewVersions::default(), after(1700));
    assert_eq!((news.have.configuration, news.configuration_age_ms), (3, Some(900)));
    // Its asker counts from when it asked, however long the answer took.
    let mut front = at_revision_three();
    front.take_answer(&news, after(2000));
    assert_eq!(front.freshness.age(after(5000)), Some(Duration::from_millis(3900)));
}

#[test]
fn what_was_shown_after_the_question_counts_from_the_question() {
    let start = Instant::now();
    let mut agent = at_revision_three();
    agent.take_answer(&answer(3, Some(0)), start + Duration::from_millis(600));
    let news = agent.proven_news_for(&ViewVersions::default(), start);
    assert_eq!(news.configuration_age_ms, Some(0));
}

#[test]
fn nothing_is_told_where_nothing_was_shown() {
    let mut view = at_revision_three();
    view.take_answer(&answer(3, None), Instant::now());
    assert_eq!(view.proven_news_for(&ViewVersions::default(), Instant::now()).configuration_age_ms, None);
}

#[test]
fn a_newer_revision_is_waited_for_and_counts_when_it_comes_by_another_way() {
    let start = Instant::now();
    let mut view = at_revision_three();
    view.take_answer(&answer(4, Some(0)), start);
    assert_eq!(view.freshness.age(start), None);
    let newer = CONFIG.replace("\"revision\": 3", "\"revision\": 4");
    view.take(&ViewUpdate { configuration: Some(newer.into()), ..answer(4, None) });
    assert_eq!(view.freshness.age(start), Some(Duration::ZERO));
}
