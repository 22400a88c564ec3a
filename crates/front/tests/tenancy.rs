//! Which tenant and which operation a request belongs to.

use config::{Configuration, ConfigurationIndex};
use front::tenancy::{OPERATION_KEY_LIMIT, Refusal, operation_id, operation_key, optional_tenant, tenant_name};
use http1::Request;

const CONFIG: &str = r#"{"revision": 1, "channels": [], "plants": [], "limits": {}, "tenants": [
  {"name": "clinic", "keys": ["k1", "k2"]}, {"name": "shop", "keys": ["k3"]}]}"#;

fn index(json: &str) -> ConfigurationIndex {
    Configuration::read(json.as_bytes()).expect("valid").into()
}

fn request(headers: &[(&str, &str)]) -> Request {
    let headers = headers.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect();
    Request { headers, ..Request::default() }
}

#[test]
fn a_key_names_its_tenant_in_any_spelling_of_the_header() {
    let config = index(CONFIG);
    for (name, value, tenant) in [
        ("Authorization", "Bearer k1", "clinic"),
        ("AUTHORIZATION", "bearer k2", "clinic"),
        ("authorization", "BEARER   k3", "shop"),
    ] {
        assert_eq!(tenant_name(&config, false, &request(&[(name, value)])), Ok(tenant));
    }
}

#[test]
fn a_request_without_one_well_formed_known_key_is_refused() {
    let config = index(CONFIG);
    for (headers, refusal) in [
        (vec![], Refusal::KeyMissing),
        (vec![("Authorization", "")], Refusal::KeyMalformed),
        (vec![("Authorization", "Bearer")], Refusal::KeyMalformed),
        (vec![("Authorization", "Bearer ")], Refusal::KeyMalformed),
        (vec![("Authorization", "Basic k1")], Refusal::KeyMalformed),
        (vec![("Authorization", "k1")], Refusal::KeyMalformed),
        (vec![("Authorization", "Bearer k1 k3")], Refusal::KeyMalformed),
        (vec![("Authorization", "Bearer k1,Bearer k3")], Refusal::KeyMalformed),
        (vec![("Authorization", "Bearer k9")], Refusal::KeyUnknown),
        (vec![("Authorization", "Bearer K1")], Refusal::KeyUnknown),
        (vec![("Authorization", "Bearer k1"), ("authorization", "Bearer k1")], Refusal::KeyRepeated),
        (vec![("Authorization", "Bearer k1"), ("AUTHORIZATION", "")], Refusal::KeyRepeated),
    ] {
        assert_eq!(tenant_name(&config, false, &request(&headers)), Err(refusal), "{headers:?}");
        let status = if refusal == Refusal::KeyRepeated { 400 } else { 401 };
        assert_eq!(refusal.status(), status);
    }
    let long = format!("Bearer {}", "k".repeat(5000));
    assert_eq!(tenant_name(&config, false, &request(&[("Authorization", &long)])), Err(Refusal::KeyUnknown));
}

#[test]
fn an_unkeyed_route_and_a_configuration_without_tenants_ask_for_no_key() {
    let config = index(CONFIG);
    assert_eq!(tenant_name(&config, true, &request(&[])), Ok(""));
    assert_eq!(tenant_name(&config, true, &request(&[("Authorization", "Bearer k9")])), Ok(""));
    let without = index(r#"{"revision": 1, "channels": [], "plants": [], "limits": {}}"#);
    assert_eq!(tenant_name(&without, false, &request(&[("Authorization", "nonsense")])), Ok(""));
    // An empty list of tenants: no key is valid.
    let no_tenants = index(r#"{"revision": 1, "channels": [], "plants": [], "limits": {}, "tenants": []}"#);
    assert_eq!(tenant_name(&no_tenants, false, &request(&[])), Err(Refusal::KeyMissing));
}

#[test]
fn a_request_without_a_key_has_no_tenant() {
    let config = index(CONFIG);
    assert!(optional_tenant(&config, &request(&[])).is_ok_and(|tenant| tenant.is_none()));
    let unknown_key = request(&[("Authorization", "Bearer k9")]);
    assert_eq!(optional_tenant(&config, &unknown_key).err(), Some(Refusal::KeyUnknown));
}

#[test]
fn an_operation_key_occurs_once_and_is_neither_empty_nor_too_long() {
    let longest = "k".repeat(OPERATION_KEY_LIMIT);
    let too_long = "k".repeat(OPERATION_KEY_LIMIT + 1);
    assert_eq!(operation_key(&request(&[("x-operation-key", "k-5512")])), Ok("k-5512"));
    assert_eq!(operation_key(&request(&[("X-Operation-Key", &longest)])), Ok(longest.as_str()));
    for (headers, refusal) in [
        (vec![], Refusal::OperationMissing),
        (vec![("X-Operation-Key", "")], Refusal::OperationMissing),
        (vec![("X-Operation-Key", too_long.as_str())], Refusal::OperationTooLong),
        (vec![("X-Operation-Key", "a"), ("x-operation-key", "a")], Refusal::OperationRepeated),
    ] {
        assert_eq!(operation_key(&request(&headers)), Err(refusal), "{headers:?}");
        assert_eq!(refusal.status(), 400);
    }
}

#[test]
fn operation_ids_differ_between_tenants_and_between_keys() {
    assert_eq!(operation_id("clinic", "k"), operation_id("clinic", "k"));
    assert_ne!(operation_id("clinic", "k"), operation_id("shop", "k"));
    assert_ne!(operation_id("clinic", "k"), operation_id("clinic", "K"));
    assert_ne!(operation_id("a", "bc"), operation_id("ab", "c"), "the boundary between tenant and key matters");
}
