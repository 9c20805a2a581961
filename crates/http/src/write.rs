//! Serializes messages. Line breaks in header names and values are replaced, since they could inject a header.

const REASONS: &[(u16, &str)] = &[
    (200, "OK"),
    (204, "No Content"),
    (400, "Bad Request"),
    (404, "Not Found"),
    (405, "Method Not Allowed"),
    (408, "Request Timeout"),
    (410, "Gone"),
    (413, "Content Too Large"),
    (429, "Too Many Requests"),
    (431, "Request Header Fields Too Large"),
    (500, "Internal Server Error"),
    (501, "Not Implemented"),
    (502, "Bad Gateway"),
    (503, "Service Unavailable"),
    (504, "Gateway Timeout"),
];

pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn headers_and_body(mut text: String, headers: &[(&str, &str)], body: Option<&[u8]>) -> Vec<u8> {
    for (name, value) in headers {
        let sanitize = |part: &str| part.replace(['\r', '\n', '\0'], " ");
        text += &format!("{}: {}\r\n", sanitize(name), sanitize(value));
    }
    if let Some(body) = body {
        text += &format!("content-length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body.unwrap_or_default());
    bytes
}

/// Without a body no `content-length` is written: pass a transfer encoding among the headers, or send no body.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: Option<&[u8]>) -> Vec<u8> {
    let target = target.replace(|c: char| c.is_ascii_control() || c == ' ', "%20");
    headers_and_body(format!("{method} {target} HTTP/1.1\r\n"), headers, body)
}

pub fn response(status: u16, headers: &[(&str, &str)], body: Option<&[u8]>) -> Vec<u8> {
    let reason = REASONS.iter().find(|row| row.0 == status).map_or("", |row| row.1);
    headers_and_body(format!("HTTP/1.1 {status} {reason}\r\n"), headers, body)
}

/// One chunk of a chunked body; empty for empty data, since an empty chunk would end the body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    if data.is_empty() {
        return Vec::new();
    }
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}
