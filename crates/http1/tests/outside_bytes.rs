//! Untrusted input: any bytes are parsed or refused, without a panic.

use bytes::BytesMut;
use http1::*;
use proptest::prelude::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Headers that the parsers interpret, with values that are valid or nearly valid.
fn header() -> impl Strategy<Value = Vec<u8>> {
    let name = prop_oneof![
        Just("Content-Length"),
        Just("Transfer-Encoding"),
        Just("Connection"),
        Just("Keep-Alive"),
        Just("Host"),
        Just("Expect"),
        Just("X-Attempt-Id"),
    ];
    let value = prop_oneof![
        "[0-9+-]{0,24}",
        "timeout=[-+.0-9a-zA-Z,;= ]{0,12}",
        "(chunked|close|100-continue|NaN|inf|1e999)",
        "\\PC{0,12}",
    ];
    (name, value).prop_map(|(name, value)| format!("{name}: {value}\r\n").into_bytes())
}

/// A valid first line, some headers, and arbitrary bytes after them.
fn message(first: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let headers = proptest::collection::vec(header(), 0..6);
    let rest = proptest::collection::vec(any::<u8>(), 0..64);
    (headers, any::<bool>(), rest).prop_map(move |(headers, is_whole, rest)| {
        let mut bytes = first.as_bytes().to_vec();
        bytes.extend(headers.into_iter().flatten());
        if is_whole {
            bytes.extend(b"\r\n");
        }
        bytes.extend(rest);
        bytes
    })
}

proptest! {
    #[test]
    fn any_time_in_a_header_is_within_bounds_or_refused(text in "\\PC{0,40}") {
        if let Some(time) = keep_alive_timeout(&text) {
            prop_assert!(time < Duration::from_secs(1_000_000_000));
        }
        if let Some(time) = milliseconds(&text, 1e12) {
            prop_assert!((0.0..1e12).contains(&time));
        }
    }

    #[test]
    fn keep_alive_timeout_in_whole_seconds_is_parsed_if_it_is_unique(seconds in 0u64..1_000_000) {
        let timeout = keep_alive_timeout(&format!("max=5, Timeout={seconds}"));
        prop_assert_eq!(timeout, Some(Duration::from_secs(seconds)));
        prop_assert_eq!(keep_alive_timeout(&format!("timeout={seconds}, timeout={seconds}")), None);
    }

    #[test]
    fn any_request_is_parsed_or_rejected(bytes in message("POST /a HTTP/1.1\r\n")) {
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(Some((_, Framing::Chunked, _))) = take_head(&mut buffer, &Bounds::default()) {
            let _ = Chunks::default().take(&mut buffer, 1 << 10);
        }
    }

    #[test]
    fn any_response_is_parsed_or_refused(bytes in message("HTTP/1.1 200 OK\r\n")) {
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(Some((_, Framing::Chunked))) = take_answer_head(&mut buffer, false) {
            let _ = Chunks::default().take(&mut buffer, 1 << 10);
        }
    }

    #[test]
    fn arbitrary_bytes_are_parsed_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = take_head(&mut BytesMut::from(&bytes[..]), &Bounds::default());
        let _ = take_answer_head(&mut BytesMut::from(&bytes[..]), false);
        let _ = Chunks::default().take(&mut BytesMut::from(&bytes[..]), 1 << 10);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn panic_in_a_handler_ends_only_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    let (_open, closing) = watch::channel(Closing::Open);
    tokio::spawn(listen(listener, Bounds::default, closing, ClientWatch::Off, |request| async move {
        assert_ne!(request.path, "/panic", "deliberate panic");
        Reply::new(200)
    }));
    let get = async |path: &str| {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("connected");
        let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("written");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer).await;
        answer
    };
    assert_eq!(get("/panic").await, "");
    assert!(get("/").await.starts_with("HTTP/1.1 200"));
}
