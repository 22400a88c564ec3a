//! Whatever bytes another machine sends, reading them ends in a value or a refusal.

use bytes::BytesMut;
use http1::*;
use proptest::prelude::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Names of headers that are read, with values that come close to good ones.
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

/// A head that begins well, some headers, and any bytes behind it.
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
    fn any_time_in_a_header_is_read_or_not(text in "\\PC{0,40}") {
        if let Some(time) = keep_alive_timeout(&text) {
            prop_assert!(time < Duration::from_secs(1_000_000_000));
        }
        if let Some(time) = milliseconds(&text, 1e12) {
            prop_assert!((0.0..1e12).contains(&time));
        }
    }

    #[test]
    fn a_time_in_whole_seconds_is_read_as_it_stands(seconds in 0u64..1_000_000) {
        let told = keep_alive_timeout(&format!("max=5, Timeout={seconds}"));
        prop_assert_eq!(told, Some(Duration::from_secs(seconds)));
        prop_assert_eq!(keep_alive_timeout(&format!("timeout={seconds}, timeout={seconds}")), None);
    }

    #[test]
    fn any_request_is_read_or_turned_away(bytes in message("POST /a HTTP/1.1\r\n")) {
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(Some((_, Framing::Chunked, _))) = take_head(&mut buffer, &Bounds::default()) {
            let _ = Chunks::default().take(&mut buffer, 1 << 10);
        }
    }

    #[test]
    fn any_answer_is_read_or_refused(bytes in message("HTTP/1.1 200 OK\r\n")) {
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(Some((_, Framing::Chunked))) = take_answer_head(&mut buffer, false) {
            let _ = Chunks::default().take(&mut buffer, 1 << 10);
        }
    }

    #[test]
    fn any_bytes_at_all_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = take_head(&mut BytesMut::from(&bytes[..]), &Bounds::default());
        let _ = take_answer_head(&mut BytesMut::from(&bytes[..]), false);
        let _ = Chunks::default().take(&mut BytesMut::from(&bytes[..]), 1 << 10);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_panic_while_a_request_is_handled_ends_its_connection_alone() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (_open, closing) = watch::channel(Closing::Open);
    tokio::spawn(listen(listener, Bounds::default, closing, ClientWatch::Off, |request| async move {
        assert_ne!(request.path, "/panic", "as it is meant to");
        Reply::new(200)
    }));
    let ask = async |path: &str| {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("it listens");
        let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("written");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer).await;
        answer
    };
    assert_eq!(ask("/panic").await, "");
    assert!(ask("/").await.starts_with("HTTP/1.1 200"));
}
