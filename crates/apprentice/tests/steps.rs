//! A process follows the configuration by what changed of it.

use apprentice::Known;
use dovetail::msg::{Have, News, TemplateStep};
use dovetail::print;
use gauge::{adjust, canonical};

fn change(revision: u64, cutoff: u64) -> Vec<u8> {
    let route = format!(r#"{{"name":"r1","host":"h","prefix":"/a/","plant":"p","cutoffMs":{cutoff}}}"#);
    format!(r#"{{"revision":{revision},"upsert":{{"channels":[{route}]}}}}"#).into_bytes()
}

#[test]
fn changes_are_taken_in_order_and_a_gap_is_filled_with_the_whole() {
    let routes: Vec<String> = (0..40)
        .map(|n| format!(r#"{{"name":"r{n}","host":"h","prefix":"/a{n}/","plant":"p","cutoffMs":9}}"#))
        .collect();
    let base = format!(r#"{{"revision":1,"channels":[{}],"plants":[{{"name":"p"}}],"limits":{{}}}}"#, routes.join(","));
    let mut whole = canonical(base.as_bytes()).expect("read");
    let mut k = Known::default();
    assert!(k.take(&News { template: Some(whole.clone().into()), ..News::default() }));
    let mut steps = Vec::new();
    for n in 2..6u64 {
        let c = change(n, 10 * n);
        whole = adjust(&whole, &c).expect("applies");
        steps.push(TemplateStep { since: n - 1, revision: n, change: c.into(), print: print(&whole) });
    }
    assert!(k.take(&News { steps: steps[..3].to_vec(), ..News::default() }), "three together");
    assert_eq!((k.template.revision, k.template.channel("r1").expect("it").cutoff_ms), (4, 40.0));
    // Heard again, and then out of order: the rest only.
    assert!(k.take(&News { steps: steps.clone(), ..News::default() }));
    assert_eq!((k.template.revision, k.json.clone()), (5, whole.clone().into()));
    // Passed on to one that is a little behind as changes, to a newcomer whole.
    assert_eq!(k.news_for(&Have { template: 3, ..Have::default() }).steps.len(), 2);
    assert!(k.news_for(&Have::default()).template.is_some());
    // A gap, or another print: nothing is guessed.
    for bad in [
        TemplateStep { since: 6, revision: 7, change: change(7, 1).into(), print: 0 },
        TemplateStep { since: 5, revision: 6, change: change(6, 1).into(), print: 0 },
    ] {
        let mut k = k.clone();
        assert!(!k.take(&News { steps: vec![bad], ..News::default() }));
        assert_eq!((k.template.revision, k.have().template), (5, 0), "the whole is asked for");
        assert!(k.take(&News { template: Some(whole.clone().into()), ..News::default() }));
        assert_eq!(k.have().template, 5);
    }
}
