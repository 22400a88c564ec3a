//! Strict parsing of requests: what is rejected, and what is left in the buffer.

use bytes::BytesMut;
use http1::*;

fn head(text: &str) -> Result<Option<(Request, Framing, bool)>, RequestError> {
    take_head(&mut BytesMut::from(text), &Bounds { header_bytes: 512, body_bytes: 100, ..Bounds::default() })
}

fn status(text: &str) -> u16 {
    head(text).expect_err(text).status
}

#[test]
fn ambiguous_and_malformed_heads_are_rejected() {
    let p = "POST /a HTTP/1.1\r\nHost: h\r\n";
    for bad in [
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: 0x5\r\n",
        "Content-Length:\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        " folded: x\r\n",
        "Host: other\r\n",
    ] {
        assert_eq!(status(&format!("{p}{bad}\r\n")), 400, "{bad:?}");
    }
    assert_eq!(status(&format!("{p}Transfer-Encoding: gzip, chunked\r\n\r\n")), 501);
    assert_eq!(status("POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
    assert_eq!(status("POST /a HTTP/1.1\r\n\r\n"), 400);
    assert_eq!(status("POST http://h/a HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
    assert_eq!(status("garbage\r\n\r\n"), 400);
}

#[test]
fn oversized_requests_are_rejected() {
    assert_eq!(status("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"), 413);
    assert_eq!(status(&format!("POST /a HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "x".repeat(600))), 431);
    assert_eq!(status(&format!("POST /a HTTP/1.1\r\nHost: h\r\nX: {}", "x".repeat(600))), 431);
    let many: String = (0..70).map(|i| format!("a{i}: b\r\n")).collect();
    assert_eq!(status(&format!("POST /a HTTP/1.1\r\nHost: h\r\n{many}\r\n")), 431);
}

#[test]
fn parsing_a_head_leaves_the_body_and_later_bytes_in_the_buffer() {
    let mut buf =
        BytesMut::from("POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabcGET");
    let (r, f, _) = take_head(&mut buf, &Bounds::default()).expect("valid").expect("complete");
    assert_eq!((r.path.as_str(), f, r.keep), ("/a?b", Framing::Length(3), false));
    assert_eq!(&buf[..], b"abcGET");
    assert!(head("POST /a HTTP/1.1\r\nHost: h\r\n").expect("valid so far").is_none());
}

#[test]
fn chunked_body_may_arrive_in_any_pieces_but_must_be_well_formed() {
    let text = b"3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrail: er\r\n\r\nNEXT";
    for split in 0..text.len() {
        let (mut c, mut buf) = (Chunks::default(), BytesMut::from(&text[..split]));
        let mut got = c.take(&mut buf, 100).expect("valid");
        if got.is_none() {
            buf.extend_from_slice(&text[split..]);
            got = c.take(&mut buf, 100).expect("valid");
        }
        assert_eq!(got.as_deref(), Some(&b"abc0123456789"[..]), "split at {split}");
    }
    let mut c = Chunks::default();
    let mut buf = BytesMut::from(&text[..]);
    c.take(&mut buf, 100).expect("valid");
    assert_eq!(&buf[..], b"NEXT");
    for bad in ["3\r\nabcd\r\n", "x\r\n", "\r\n", "-1\r\n", "3\nabc\r\n", "fffffffff\r\n"] {
        let e = Chunks::default().take(&mut BytesMut::from(bad), 100).expect_err(bad);
        assert!(e.status == 400 || e.status == 413);
    }
    let e = Chunks::default().take(&mut BytesMut::from("65\r\n"), 100).expect_err("too large");
    assert_eq!(e.status, 413);
}
