//! The admin listener: reads complete HTTP requests and writes responses. The requests are handled by the caller.

use pewtergap_http::{response, Limits, ParseError, Part, Reader, Side, StartLine};
use pewtergap_node::{Effect, Link, Outbox};
use std::collections::BTreeMap;

/// Maximum concurrent connections.
const MAX_CONNECTIONS: usize = 64;
const BOUNDS: Limits = Limits { head: 4096, body: 16 * 1024 };

/// A complete request.
pub struct AdminRequest {
    pub link: Link,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

/// A connection, and the request that is being received on it.
struct AdminLink {
    reader: Reader,
    incomplete: Option<AdminRequest>,
    /// A request was passed on and not answered yet. Nothing more is read meanwhile.
    busy: bool,
    /// An invalid request was answered; nothing is read any more.
    failed: bool,
    paused: bool,
    /// Number of the last complete request of all connections when this one was last used.
    last_used: u64,
}

impl AdminLink {
    fn new(last_used: u64) -> AdminLink {
        let reader = Reader::new(Side::Requests, BOUNDS);
        AdminLink { reader, incomplete: None, busy: false, failed: false, paused: false, last_used }
    }

    fn pause(&mut self, link: Link, out: &mut Outbox) {
        if !std::mem::replace(&mut self.paused, true) {
            out.push(Effect::Pause { link });
        }
    }

    fn resume(&mut self, link: Link, out: &mut Outbox) {
        if std::mem::take(&mut self.paused) {
            out.push(Effect::Resume { link });
        }
    }

    /// The next complete request, if there is one.
    fn next_request(&mut self, link: Link) -> Result<Option<AdminRequest>, ParseError> {
        loop {
            match self.reader.next_part()? {
                Some(Part::Head(head)) => {
                    if let StartLine::Request { method, target } = head.first {
                        self.incomplete = Some(AdminRequest { link, method, target, body: Vec::new() });
                    }
                }
                Some(Part::Data(data)) => {
                    self.incomplete.iter_mut().for_each(|request| request.body.extend(&data))
                }
                Some(Part::End) => return Ok(self.incomplete.take()),
                None => return Ok(None),
            }
        }
    }
}

/// Reads one request of a connection at a time: the next one is read after the answer, behind other links.
#[derive(Default)]
pub struct AdminServer {
    links: BTreeMap<Link, AdminLink>,
    requests: u64,
}

impl AdminServer {
    pub fn owns_link(&self, link: Link) -> bool {
        self.links.contains_key(&link)
    }

    /// Accepts a connection. When all are in use, the one that has been idle for longest makes room: clients that connect
    /// and send nothing must not keep operators out.
    pub fn accepted(&mut self, link: Link, out: &mut Outbox) {
        if self.links.len() >= MAX_CONNECTIONS {
            let idle = self.links.iter().filter(|(_, open)| !open.busy);
            let Some((idlest, _)) = idle.min_by_key(|(link, open)| (open.last_used, **link)) else {
                return out.cut(link);
            };
            let idlest = *idlest;
            self.links.remove(&idlest);
            out.cut(idlest);
        }
        self.links.insert(link, AdminLink::new(self.requests));
    }

    /// Returns whether the link was one of these connections.
    pub fn closed(&mut self, link: Link) -> bool {
        self.links.remove(&link).is_some()
    }

    /// Takes received bytes, and returns a request once it is complete. It has to be answered with
    /// [`AdminServer::answer`].
    pub fn receive(&mut self, link: Link, bytes: &[u8], out: &mut Outbox) -> Option<AdminRequest> {
        let open = self.links.get_mut(&link).filter(|open| !open.failed)?;
        open.reader.push(bytes);
        if open.busy {
            return None;
        }
        let request = open.next_request(link);
        open.reader.shrink();
        match request {
            Ok(Some(request)) => {
                self.requests += 1;
                (open.busy, open.last_used) = (true, self.requests);
                open.pause(link, out);
                Some(request)
            }
            Ok(None) => {
                open.resume(link, out);
                None
            }
            Err(error) => {
                open.failed = true;
                open.pause(link, out);
                let why = error.to_string();
                out.send(link, response(error.status, &[("connection", "close")], Some(why.as_bytes())));
                out.finish(link);
                None
            }
        }
    }

    /// Responds to a request, unless its connection has been closed.
    pub fn answer(&mut self, link: Link, status: u16, kind: &str, body: &str, out: &mut Outbox) {
        let Some(open) = self.links.get_mut(&link) else { return };
        out.send(link, response(status, &[("content-type", kind)], Some(body.as_bytes())));
        open.busy = false;
        if open.reader.idle() {
            open.resume(link, out);
        } else {
            out.push(Effect::Continue { link });
        }
    }
}
