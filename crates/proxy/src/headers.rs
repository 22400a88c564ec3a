//! Which headers are passed on.

/// Whether a header concerns one connection only, or is written anew for the next.
pub fn is_hop_by_hop(name: &str, connection: &str) -> bool {
    const OWN: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    ];
    OWN.iter().any(|o| name.eq_ignore_ascii_case(o))
        || connection.split(',').any(|c| c.trim().eq_ignore_ascii_case(name))
}
