//! Validation of settings and configurations, route lookup, and configuration changes.

use config::*;
use serde_json::{Value, json};

const SETTINGS: &str = r#"
node = "core-1"
ip = "127.0.0.1"
zone = "z"
portRange = [7780, 7795]
seeds = ["127.0.0.1:8064"]
unknownField = 3
[limits]
memoryMb = 100
[constraints]
quietMs = 4000
ackMs = 5000
graceS = 6
settleS = 4.2
drainMs = 3000
convergeMs = 3000
rollbackMs = 5000
statusS = 120
notifyS = 5
peakWindowS = 5
"#;

#[test]
fn settings_errors_name_the_invalid_field() {
    assert!(Settings::parse(SETTINGS).is_ok(), "unknown fields are ignored");
    for (from, to, field) in [
        ("node = \"core-1\"", "", "node"),
        ("ip = \"127.0.0.1\"", "ip = \"x\"", "ip"),
        ("[7780, 7795]", "[7780]", "portRange"),
        ("8064\"", "x\"", "seeds"),
        ("quietMs = 4000", "quietMs = 0", "constraints.quietMs"),
        ("memoryMb = 100", "", "limits.memoryMb"),
        ("zone = \"z\"", "zone = 3", "file"),
    ] {
        let e = Settings::parse(&SETTINGS.replace(from, to)).expect_err(field);
        assert_eq!(e.field, field, "{e}");
        assert!(!e.to_string().contains('\n'));
    }
}

fn config() -> Value {
    json!({"revision": 7, "extra": [1], "channels": [
        {"name": "r1", "host": "h", "prefix": "/a/", "mode": "deferred", "cutoffMs": 10, "plant": "p", "tries": 3, "retainS": 9, "odd": true},
        {"name": "r2", "host": "h", "prefix": "/a/b/", "mode": "deferred", "cutoffMs": 10, "plant": "p", "tries": 3, "retainS": 9}],
        "plants": [{"name": "p", "endpoint": null}], "limits": {"bodyBytes": 100}})
}

#[test]
fn invalid_configurations_name_the_item() {
    let read = |v: &Value| Configuration::read(v.to_string().as_bytes());
    assert!(read(&config()).is_ok());
    for (path, value, names) in [
        ("/channels/1/prefix", json!("/a/"), "r2"),
        ("/channels/0/plant", json!("q"), "r1"),
        ("/channels/0/cutoffMs", json!(0), "r1"),
        ("/channels/1/name", json!("r1"), "r1"),
        ("/plants/0/endpoint", json!("nowhere"), "p"),
        ("/revision", json!(0), "revision"),
        ("/channels/0/cutoffMs", json!("ten"), "read"),
    ] {
        let mut c = config();
        *c.pointer_mut(path).expect("there") = value;
        let e = read(&c).expect_err(path);
        assert!(e.contains(names), "{path}: {e}");
    }
    let text = config().to_string();
    assert!(Configuration::read(&text.as_bytes()[..text.len() - 20]).is_err());
}

#[test]
fn the_longest_prefix_on_the_host_selects_the_route() {
    let t = ConfigurationIndex::from(Configuration::read(config().to_string().as_bytes()).expect("good"));
    assert_eq!(t.route("h", "/a/x").map(|c| c.name.as_str()), Some("r1"));
    assert_eq!(t.route("H:80", "/a/b/x").map(|c| c.name.as_str()), Some("r2"));
    assert!(t.route("other", "/a/x").is_none() && t.route("h", "/b").is_none());
}

#[test]
fn adjust_changes_named_items_and_keeps_the_rest() {
    let base = config().to_string();
    let change = json!({"revision": 9, "upsert": {"channels": [{"name": "r3", "host": "h", "prefix": "/c/",
        "cutoffMs": 5, "plant": "p"}]}, "remove": {"channels": ["r2"]}});
    let got: Value =
        serde_json::from_slice(&adjust(base.as_bytes(), change.to_string().as_bytes()).expect("good")).expect("json");
    assert_eq!(got["revision"], 9);
    assert_eq!(got["channels"].as_array().map(Vec::len), Some(2));
    assert_eq!(got["channels"][0]["odd"], true, "unknown fields are kept");
    assert_eq!(got["extra"], json!([1]));
    for bad in [
        json!({"upsert": {}}),
        json!({"revision": 9, "remove": {"nothing": ["x"]}}),
        json!({"revision": 9, "upsert": {"channels": [{}]}}),
    ] {
        assert!(adjust(base.as_bytes(), bad.to_string().as_bytes()).is_err(), "{bad}");
    }
}

#[test]
fn applying_a_difference_yields_the_new_configuration() {
    let old = canonical(config().to_string().as_bytes()).expect("read");
    let mut now = config();
    now["revision"] = json!(9);
    now["channels"][1]["cutoffMs"] = json!(20);
    now["limits"] = json!({"bodyBytes": 200});
    // In a small configuration the change is too large a part; in a large one it is a small part.
    let many = |v: &Value| {
        let mut v = v.clone();
        let more =
            (0..60).map(|n| json!({"name": format!("x{n}"), "host": "h", "prefix": format!("/{n}/"), "plant": "p"}));
        let all = v["channels"].as_array_mut().expect("a list");
        all.extend(more);
        canonical(v.to_string().as_bytes()).expect("read")
    };
    let (old_many, mut now_many) = (many(&config()), many(&now));
    assert_eq!(difference(&old, &old_many), None);
    let change = difference(&old_many, &now_many).expect("small compared with the configuration");
    assert!(change.len() < now_many.len() / 10);
    assert_eq!(adjust(&old_many, &change).expect("applies"), now_many);
    // One item removed and one appended at the end, where adjust adds new items.
    let mut v: Value = serde_json::from_slice(&now_many).expect("json");
    let all = v["channels"].as_array_mut().expect("a list");
    all.remove(0);
    all.push(json!({"name": "new", "host": "h", "prefix": "/n/", "plant": "p"}));
    v["revision"] = json!(11);
    let last = canonical(v.to_string().as_bytes()).expect("read");
    let change = difference(&now_many, &last).expect("small");
    assert_eq!(adjust(&now_many, &change).expect("applies"), last);
    // A change of named items cannot reorder them.
    v["channels"].as_array_mut().expect("a list").reverse();
    now_many = canonical(v.to_string().as_bytes()).expect("read");
    assert_eq!(difference(&last, &now_many), None);
}

#[test]
fn functions_with_invalid_sizes_are_rejected_by_name() {
    let read = |v: &Value| Configuration::read(v.to_string().as_bytes());
    let mut c = config();
    c["plants"][0] = json!({"name": "p", "probe": null, "memoryMb": 128, "bootMs": 900, "maxInflight": 1});
    assert!(read(&c).is_ok());
    for (field, value) in [("memoryMb", json!(0)), ("bootMs", json!(-1)), ("maxInflight", json!(0))] {
        let mut bad = c.clone();
        bad["plants"][0][field] = value;
        let e = read(&bad).expect_err(field);
        assert!(e.contains(field) && e.contains("p:"), "{e}");
    }
    // A route with weights needs known services and a sum above 0.
    c["channels"][0]["mix"] = json!({"p": 3, "q": 1});
    assert!(read(&c).expect_err("unknown").contains("\"q\""));
    c["channels"][0]["mix"] = json!({"p": 0});
    assert!(read(&c).expect_err("nothing").contains("r1"));
}

#[test]
fn a_route_covers_its_accepted_messages_until_its_name_is_reused() {
    let index = |value: &Value| {
        ConfigurationIndex::from(Configuration::read(value.to_string().as_bytes()).expect("a configuration"))
    };
    let before = index(&config());
    let covers = |index: &ConfigurationIndex, host: &str, path: &str| index.route_covering("r1", host, path).is_some();
    assert!(covers(&before, "h", "/a/x?q=/z") && covers(&before, "H:80", "/a/b/x"));
    assert!(!covers(&before, "h", "/c/x") && !covers(&before, "other", "/a/x") && !covers(&before, "h", "/?q=/a/"));
    let mut changed = config();
    changed["channels"][0]["prefix"] = json!("/c/");
    let after = index(&changed);
    assert!(!covers(&after, "h", "/a/x") && covers(&after, "h", "/c/x"));
    assert!(before.route_covering("gone", "h", "/a/x").is_none());
}
