//! Parsing of messages split at arbitrary points, and rejection of invalid ones.

use pewtergap_http::*;

fn read(side: Side, parts: &[&[u8]]) -> String {
    let mut reader = Reader::new(side, Limits { head: 400, body: 100 });
    let mut trace = String::new();
    for bytes in parts {
        reader.push(bytes);
        loop {
            match reader.next_part() {
                Ok(Some(Part::Head(head))) => {
                    trace += &format!("{:?} keep_alive {}; ", head.first, head.keep_alive)
                }
                Ok(Some(Part::Data(data))) => trace += &String::from_utf8_lossy(&data),
                Ok(Some(Part::End)) => trace += ". ",
                Ok(None) => break,
                Err(error) => return format!("{trace}{} {error}", error.status),
            }
        }
    }
    match reader.close() {
        Ok(Some(_)) => trace + "closed.",
        Ok(None) => trace,
        Err(error) => format!("{trace}truncated: {error}"),
    }
}

const TWO_REQUESTS: &[u8] = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n\
GET /b HTTP/1.1\r\nConnection: close\r\n\r\n";

#[test]
fn pipelined_messages_are_parsed_whole_however_they_are_split() {
    let whole = read(Side::Requests, &[TWO_REQUESTS]);
    for at in 1..TWO_REQUESTS.len() {
        assert_eq!(read(Side::Requests, &[&TWO_REQUESTS[..at], &TWO_REQUESTS[at..]]), whole, "split at {at}");
    }
    let bytes: Vec<&[u8]> = TWO_REQUESTS.chunks(1).collect();
    assert_eq!(read(Side::Requests, &bytes), whole);
    assert!(whole.contains("; abcde. ") && whole.ends_with("keep_alive false; . "), "{whole}");
}

#[test]
fn ambiguous_and_invalid_messages_are_rejected() {
    let cases: &[(Side, &[u8])] = &[
        (Side::Requests, b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
        (Side::Requests, b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"),
        (Side::Requests, b"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n"),
        (Side::Requests, b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"),
        (Side::Requests, b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n"),
        (Side::Requests, b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n"),
        (Side::Requests, b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"),
        (Side::Requests, b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"),
        (Side::Requests, b"GET  / HTTP/1.1\r\n\r\n"),
        (Side::Requests, b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc"),
        (Side::Responses, b"HTTP/1.1 200 OK\r\n\r\nall until the end"),
        (Side::Responses, b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n"),
        (Side::Responses, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"),
        (Side::Responses, b"\x16\x03\x01\x02\x00"),
    ];
    let mut trace: Vec<String> = cases.iter().map(|(side, bytes)| read(*side, &[bytes])).collect();
    let long = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(500));
    trace.push(read(Side::Requests, &[long.as_bytes()]));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: 1\r\n".repeat(65));
    trace.push(read(Side::Requests, &[many.as_bytes()]));
    insta::assert_snapshot!(trace.join("\n"));
}

#[test]
fn damaged_bytes_never_panic() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut rejected = 0;
    for _ in 0..20_000 {
        let mut bytes = TWO_REQUESTS.to_vec();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(0..bytes.len());
            bytes[at] = rng.u8(..);
        }
        rejected += usize::from(read(Side::Requests, &[&bytes]).contains("byte"));
    }
    assert!(rejected > 1000, "{rejected}");
}

#[test]
fn header_values_cannot_inject_headers() {
    let bytes = response(200, &[("x-id", "a\r\nset-cookie: b")], Some(b"hi"));
    insta::assert_snapshot!(String::from_utf8(bytes).unwrap().replace("\r\n", "|"));
}
