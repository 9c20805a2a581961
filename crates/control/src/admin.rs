//! The admin door: requests over HTTP as they come whole, and their answers. What is asked for is others' to know.

use pewtergap_http::{response, Limits, Part, Reader, Side, StartLine};
use pewtergap_node::{Link, Outbox};
use std::collections::BTreeMap;

/// Connections at once; more are turned away.
const MOST: usize = 64;
const BOUNDS: Limits = Limits { head: 4096, body: 16 * 1024 };

/// A request that came whole.
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
        if self.links.len() >= MOST {
            return out.cut(link);
        }
        self.links.insert(link, (Reader::new(Side::Requests, BOUNDS), None));
    }

    /// Whether it was one of these.
    pub fn closed(&mut self, link: Link) -> bool {
        self.links.remove(&link).is_some()
    }

    pub fn receive(&mut self, link: Link, bytes: &[u8], out: &mut Outbox) -> Vec<AdminRequest> {
        let Some((reader, open)) = self.links.get_mut(&link) else { return Vec::new() };
        reader.push(bytes);
        let mut asked = Vec::new();
        loop {
            match reader.next_part() {
                Ok(Some(Part::Head(head))) => {
                    if let StartLine::Request { method, target } = &head.first {
                        let (method, target) = (method.clone(), target.clone());
                        *open = Some(AdminRequest { link, method, target, body: Vec::new() });
                    }
                }
                Ok(Some(Part::Data(data))) => open.iter_mut().for_each(|asked| asked.body.extend(&data)),
                Ok(Some(Part::End)) => asked.extend(open.take()),
                Ok(None) => return asked,
                Err(wrong) => {
                    let why = wrong.to_string();
                    out.send(link, response(wrong.status, &[("connection", "close")], Some(why.as_bytes())));
                    out.finish(link);
                    return Vec::new();
                }
            }
        }
    }

    /// Who asked may have gone.
    pub fn answer(&self, link: Link, status: u16, kind: &str, body: &str, out: &mut Outbox) {
        if self.owns_link(link) {
            out.send(link, response(status, &[("content-type", kind)], Some(body.as_bytes())));
        }
    }
}
