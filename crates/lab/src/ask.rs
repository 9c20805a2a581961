//! Calls to a planner's admin door, as an operator or a script makes them: each waits for its answer.

use pewtergap_http::{request, Limits, Part, Reader, Side, StartLine};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer takes no longer than this: a planner answers within its own patience.
const ANSWER: Duration = Duration::from_secs(10);
const DIAL: Duration = Duration::from_secs(2);
const BOUNDS: Limits = Limits { head: 4096, body: 64 * 1024 * 1024 };

/// Status and body, or whether anything was sent and why there is no answer.
pub type Asked = Result<(u16, String), (bool, String)>;

/// Calls one after the other, on one connection as long as it stands.
pub struct Client {
    at: SocketAddr,
    stream: Option<(TcpStream, Reader)>,
}

impl Client {
    pub fn new(at: SocketAddr) -> Client {
        Client { at, stream: None }
    }

    pub fn call(&mut self, method: &str, target: &str, body: Option<&str>) -> Asked {
        let at = self.at;
        let told = |sent: bool| move |e: std::io::Error| (sent, format!("{at}: {e}"));
        let (mut stream, mut reader) = match self.stream.take() {
            Some(open) => open,
            None => {
                let stream = TcpStream::connect_timeout(&at, DIAL).map_err(told(false))?;
                stream.set_nodelay(true).map_err(told(false))?;
                (stream, Reader::new(Side::Responses, BOUNDS))
            }
        };
        let end = Instant::now() + ANSWER;
        let bytes = request(method, target, &[("host", &at.to_string())], body.map(str::as_bytes));
        stream.write_all(&bytes).map_err(told(true))?;
        let (mut status, mut text, mut buffer) = (0, Vec::new(), vec![0; 16 * 1024]);
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err((true, format!("{at}: no answer within {} s", ANSWER.as_secs())));
            }
            stream.set_read_timeout(Some(left)).map_err(told(true))?;
            let count = stream.read(&mut buffer).map_err(told(true))?;
            if count == 0 {
                return Err((true, format!("{at}: closed without an answer")));
            }
            reader.push(&buffer[..count]);
            while let Some(part) = reader.next_part().map_err(|e| (true, format!("{at}: {e}")))? {
                match part {
                    Part::Head(head) => {
                        if let StartLine::Response { status: told } = head.first {
                            status = told;
                        }
                    }
                    Part::Data(data) => text.extend(data),
                    Part::End => {
                        self.stream = Some((stream, reader));
                        return Ok((status, String::from_utf8_lossy(&text).into_owned()));
                    }
                }
            }
        }
    }
}

/// One call.
pub fn call(at: SocketAddr, method: &str, target: &str, body: Option<&str>) -> Asked {
    Client::new(at).call(method, target, body)
}

/// Whether the planner at this admin door says of itself that it leads.
pub fn leads(at: SocketAddr) -> bool {
    let view = call(at, "GET", "/members", None).ok();
    let view = view.and_then(|(_, text)| serde_json::from_str::<serde_json::Value>(&text).ok());
    let seats = view.and_then(|view| view["members"].as_array().cloned()).unwrap_or_default();
    seats.iter().any(|seat| seat["leads"] == true && seat["here"] == true)
}
