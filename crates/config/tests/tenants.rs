//! Validation of tenants and lookup of tenants by key.

use config::{Configuration, ConfigurationIndex};
use serde_json::{Value, json};

fn configuration() -> Value {
    json!({"revision": 7,
        "channels": [{"name": "r1", "host": "h", "prefix": "/a/", "mode": "deferred", "cutoffMs": 10, "plant": "p"},
            {"name": "r2", "host": "h", "prefix": "/open/", "mode": "deferred", "cutoffMs": 10, "plant": "p", "unkeyed": true}],
        "plants": [{"name": "p"}], "limits": {},
        "tenants": [{"name": "clinic", "keys": ["k1", "k2"], "rank": 2, "flowPerS": 211, "surge": 10},
            {"name": "shop", "keys": ["k3"]}]})
}

fn read(value: &Value) -> Result<Configuration, String> {
    Configuration::read(value.to_string().as_bytes())
}

#[test]
fn tenants_are_read_with_their_limits() {
    let config = read(&configuration()).expect("valid");
    let clinic = &config.tenants()[0];
    assert_eq!((clinic.name.as_str(), clinic.rank), ("clinic", 2));
    assert_eq!((clinic.flow_per_s, clinic.surge), (211.0, 10.0));
    assert_eq!(
        (config.tenants()[1].flow_per_s, config.tenants()[1].surge),
        (0.0, 0.0),
        "no limit if the fields are absent"
    );
    assert!(config.routes[1].unkeyed && !config.routes[0].unkeyed);
}

#[test]
fn errors_name_the_invalid_tenant_but_no_key() {
    for (path, value, names) in [
        ("/tenants/1/keys", json!(["k2"]), "shop"),
        ("/tenants/1/name", json!("clinic"), "clinic"),
        ("/tenants/1/name", json!(""), "no name"),
        ("/tenants/1/name", json!("a b"), "a b"),
        ("/tenants/1/name", json!("x".repeat(129)), "xxx"),
        ("/tenants/1/name", json!(5), "item 1"),
        ("/tenants/1/keys", json!("k3"), "shop"),
        ("/tenants/1/keys", json!([""]), "shop"),
        ("/tenants/1/keys", json!(["with space"]), "shop"),
        ("/tenants/1/keys", json!(["k".repeat(257)]), "shop"),
        ("/tenants/0/flowPerS", json!(-1), "clinic"),
        ("/tenants/0/surge", json!("ten"), "clinic"),
        ("/tenants/0/rank", json!(-1), "clinic"),
        ("/tenants/0", json!("clinic"), "item 0"),
        ("/tenants", json!({"clinic": {}}), "read"),
    ] {
        let mut config = configuration();
        *config.pointer_mut(path).expect("there") = value;
        let error = read(&config).expect_err(path);
        assert!(error.contains(names), "{path}: {error}");
        assert!(!error.contains("with space") && !error.contains("kkkk"), "a key is a secret: {error}");
    }
}

#[test]
fn a_key_belongs_to_one_tenant_of_the_current_revision() {
    let index = ConfigurationIndex::from(read(&configuration()).expect("valid"));
    let holder = |index: &ConfigurationIndex, key: &str| index.tenant_of(key).map(|t| t.name.clone());
    assert_eq!(holder(&index, "k2").as_deref(), Some("clinic"));
    assert_eq!(holder(&index, "k3").as_deref(), Some("shop"));
    assert_eq!(holder(&index, "K3"), None, "keys are case-sensitive");
    assert_eq!(holder(&index, ""), None);
    let mut next = configuration();
    next["tenants"][0]["keys"] = json!(["k1", "k4"]);
    let next = ConfigurationIndex::from(read(&next).expect("valid"));
    assert_eq!((holder(&next, "k2"), holder(&next, "k4").as_deref()), (None, Some("clinic")));
}

#[test]
fn keys_are_required_if_the_configuration_has_a_tenant_list() {
    let has_tenants = |value: &Value| ConfigurationIndex::from(read(value).expect("valid")).has_tenants();
    let mut config = configuration();
    assert!(has_tenants(&config));
    config.as_object_mut().expect("an object").remove("tenants");
    assert!(!has_tenants(&config));
    // Removing the last tenant must not admit requests without a key.
    config["tenants"] = json!([]);
    assert!(has_tenants(&config));
}

#[test]
fn tenants_are_changed_as_named_items() {
    let old = config::canonical(configuration().to_string().as_bytes()).expect("read");
    let change = json!({"revision": 9, "upsert": {"tenants": [{"name": "shop", "keys": ["k9"]}]},
        "remove": {"tenants": ["clinic"]}});
    let new = config::adjust(&old, change.to_string().as_bytes()).expect("adjusted");
    let index = ConfigurationIndex::from(Configuration::read(&new).expect("valid"));
    assert!(index.tenant_of("k1").is_none() && index.tenant_of("k3").is_none());
    assert_eq!(index.tenant_of("k9").map(|t| t.name.as_str()), Some("shop"));
}
