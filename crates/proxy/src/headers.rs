//! Selects the headers that are forwarded.

/// Whether a header applies to a single connection only, by its name or by the value of the
/// `Connection` header, or is written anew for the next connection.
pub fn is_hop_by_hop(name: &str, connection: &str) -> bool {
    const HOP_BY_HOP: [&str; 9] = [
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
    HOP_BY_HOP.iter().any(|header| name.eq_ignore_ascii_case(header))
        || connection.split(',').any(|option| option.trim().eq_ignore_ascii_case(name))
}
