//! One call to a planner's admin door, as an operator or a script makes it: it waits.

use pewtergap_http::{request, Bounds, First, Part, Reader, Side};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer takes no longer than this: a planner answers within its own patience.
const ANSWER: Duration = Duration::from_secs(10);

/// Status and body, or whether anything was sent and why there is no answer.
pub type Asked = Result<(u16, String), (bool, String)>;

/// One call; an error says whether anything was sent.
pub fn call(
    at: SocketAddr,
    method: &str,
    target: &str,
    body: Option<&str>,
) -> Result<(u16, String), (bool, String)> {
    let unsent = |e: std::io::Error| (false, format!("{at}: {e}"));
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2)).map_err(unsent)?;
    let end = Instant::now() + ANSWER;
    let sent = |e: std::io::Error| (true, format!("{at}: {e}"));
    let host = at.to_string();
    let bytes = request(method, target, &[("host", &host)], body.map(str::as_bytes));
    stream.write_all(&bytes).map_err(sent)?;
    let mut reader = Reader::new(Side::Answers, Bounds { head: 4096, body: 64 * 1024 * 1024 });
    let (mut status, mut text, mut buffer) = (0, Vec::new(), vec![0; 64 * 1024]);
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err((true, format!("{at}: no answer within {} s", ANSWER.as_secs())));
        }
        stream.set_read_timeout(Some(left)).map_err(sent)?;
        let count = stream.read(&mut buffer).map_err(sent)?;
        if count == 0 {
            return Err((true, format!("{at}: closed without an answer")));
        }
        reader.push(&buffer[..count]);
        while let Some(part) = reader.take().map_err(|e| (true, format!("{at}: {e}")))? {
            match part {
                Part::Head(head) => {
                    if let First::Answer { status: told } = head.first {
                        status = told;
                    }
                }
                Part::Data(data) => text.extend(data),
                Part::End => return Ok((status, String::from_utf8_lossy(&text).into_owned())),
            }
        }
    }
}
