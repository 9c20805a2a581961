//! The admin listener: reads complete HTTP requests and writes responses. The requests are handled by the caller.

use pewtergap_http::{response, Limits, Part, Reader, Side, StartLine};
use pewtergap_node::{Link, Outbox};
use std::collections::BTreeMap;

/// Maximum concurrent connections; further ones are closed.
const MAX_CONNECTIONS: usize = 64;
const BOUNDS: Limits = Limits { head: 4096, body: 16 * 1024 };

/// A complete request.
pub struct AdminRequest {
    pub link: Link,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

#[derive(Default)]
pub struct AdminServer {
    links: BTreeMap<Link, (Reader, Option<AdminRequest>)>,
}

impl AdminServer {
    pub fn owns_link(&self, link: Link) -> bool {
        self.links.contains_key(&link)
    }

    pub fn accepted(&mut self, link: Link, out: &mut Outbox) {
        if self.links.len() >= MAX_CONNECTIONS {
            return out.cut(link);
        }
        self.links.insert(link, (Reader::new(Side::Requests, BOUNDS), None));
    }

    /// Returns whether the link was one of these connections.
    pub fn closed(&mut self, link: Link) -> bool {
        self.links.remove(&link).is_some()
    }

    pub fn receive(&mut self, link: Link, bytes: &[u8], out: &mut Outbox) -> Vec<AdminRequest> {
        let Some((reader, open)) = self.links.get_mut(&link) else { return Vec::new() };
        reader.push(bytes);
        let mut requests = Vec::new();
        loop {
            match reader.next_part() {
                Ok(Some(Part::Head(head))) => {
                    if let StartLine::Request { method, target } = &head.first {
                        let (method, target) = (method.clone(), target.clone());
                        *open = Some(AdminRequest { link, method, target, body: Vec::new() });
                    }
                }
                Ok(Some(Part::Data(data))) => open.iter_mut().for_each(|request| request.body.extend(&data)),
                Ok(Some(Part::End)) => requests.extend(open.take()),
                Ok(None) => return requests,
                Err(error) => {
                    let why = error.to_string();
                    out.send(link, response(error.status, &[("connection", "close")], Some(why.as_bytes())));
                    out.finish(link);
                    return Vec::new();
                }
            }
        }
    }

    /// Responds to a request, unless its connection has been closed.
    pub fn answer(&self, link: Link, status: u16, kind: &str, body: &str, out: &mut Outbox) {
        if self.owns_link(link) {
            out.send(link, response(status, &[("content-type", kind)], Some(body.as_bytes())));
        }
    }
}
