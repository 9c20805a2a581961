//! Accepted connections: joining, received messages, closing, and streams that become unresponsive.

use super::*;

impl Platform {
    /// Maximum number of accepted connections.
    fn max_connections(&self) -> usize {
        self.limits.sockets.saturating_sub(RESERVED_SOCKETS + PROBES.0)
    }

    pub(super) fn accepted(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        let reader = Reader::new(UNIDENTIFIED);
        let peer = Peer { role: PeerRole::Stranger, reader, since: now, proxy: 0, zone: 0 };
        self.peers.all.insert(link, peer);
        // Connections that have not joined are closed in favour of newer ones, so that a peer can always join.
        while self.peers.all.len() > self.max_connections() {
            let Some(oldest) = self.peers.unjoined().next().map(|unjoined| unjoined.0) else { break };
            self.reject(now, oldest, "no room", out);
        }
        self.probes.set_max_open(max_probes(self.limits, self.peers.all.len()));
    }

    /// Closes a connection; a peer that has not joined is told why.
    pub(super) fn reject(&mut self, now: Moment, link: Link, why: &str, out: &mut Outbox) {
        let Some(peer) = self.peers.all.remove(&link) else { return };
        self.peers.held -= peer.reader.held();
        self.left(now, link, &peer, out);
        if peer.role == PeerRole::Stranger {
            self.tally.turned_away += 1;
            out.send(link, nack(why));
            out.finish(link);
            // A peer that sends pings and never reads would never take the rejection, and the connection would stay
            // open for good without being counted. Whatever can be written at once has been written by now.
            out.cut(link);
        } else {
            let fields = vec![("stand", format!("{:?}", peer.role)), ("why", why.to_string())];
            self.log(now, Level::Warn, "closed", fields, out);
            out.cut(link);
        }
    }

    /// Handles the end of a connection: if it was the current stream of a proxy, the proxy has left.
    fn left(&mut self, now: Moment, link: Link, peer: &Peer, out: &mut Outbox) {
        let current = self.peers.streams.get(&peer.proxy).is_some_and(|stream| stream.link == link);
        if peer.role == PeerRole::Proxy && current {
            if self.peers.streams.remove(&peer.proxy).is_some_and(|stream| stream.silent) {
                return;
            }
            self.tables.unbind(peer.proxy);
            self.tally.leaves += 1;
            self.event(now, Event::ProxyLeft { proxy: peer.proxy }, out);
        }
    }

    pub(super) fn closed(&mut self, now: Moment, link: Link, why: Ended, out: &mut Outbox) {
        if let Some(peer) = self.peers.all.remove(&link) {
            self.peers.held -= peer.reader.held();
            if why == Ended::Overflow {
                let fields = vec![("stand", format!("{:?}", peer.role)), ("why", "does not read".into())];
                self.log(now, Level::Warn, "closed", fields, out);
            }
            self.left(now, link, &peer, out);
            self.probes.set_max_open(max_probes(self.limits, self.peers.all.len()));
        }
    }

    pub(super) fn receive(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some(mut peer) = self.peers.all.remove(&link) else { return };
        self.peers.held -= peer.reader.held();
        if peer.role == PeerRole::Proxy {
            self.resume(now, link, peer.proxy, out);
        }
        peer.reader.push(bytes);
        let previous_role = peer.role;
        let result = self.process_messages(now, link, &mut peer, out);
        let new_collector =
            (previous_role != peer.role && peer.role == PeerRole::Collector).then_some(peer.zone);
        peer.reader.shrink();
        self.peers.held += peer.reader.held();
        self.peers.all.insert(link, peer);
        if let Err(why) = result {
            self.reject(now, link, &why, out);
        }
        self.shed_incomplete(now, out);
        if let Some(zone) = new_collector {
            self.close_old_collectors(now, zone, out);
        }
    }

    /// Closes the peers with the largest incomplete messages while all together take too much memory.
    fn shed_incomplete(&mut self, now: Moment, out: &mut Outbox) {
        let max_held = (self.limits.memory_mb * 1024 * 1024 / BUFFER_MEMORY_DIVISOR) as usize;
        while self.peers.held > max_held {
            let Some(largest) = self.peers.largest_incomplete() else { return };
            self.reject(now, largest, "messages too long for all", out);
        }
    }

    /// Closes old connections of a zone's collector. A collector reconnects after a network cut while its old connection
    /// stays open and silent; without a limit, the connections would in the end use up the descriptors for proxies.
    fn close_old_collectors(&mut self, now: Moment, zone: usize, out: &mut Outbox) {
        let of_zone = |peer: &Peer| peer.role == PeerRole::Collector && peer.zone == zone;
        let collectors = self.peers.all.iter().filter(|(_, peer)| of_zone(peer));
        let mut collectors: Vec<(Moment, Link)> =
            collectors.map(|(link, peer)| (peer.since, *link)).collect();
        collectors.sort();
        let excess = collectors.len().saturating_sub(MAX_COLLECTORS);
        for (_, link) in collectors.into_iter().take(excess) {
            self.reject(now, link, "another collector of the zone", out);
        }
    }

    /// A stream that had become silent is active again: for the planner core its proxy joins anew and gets the whole
    /// table.
    fn resume(&mut self, now: Moment, link: Link, proxy: usize, out: &mut Outbox) {
        let Some(stream) = self.peers.streams.get_mut(&proxy).filter(|stream| stream.link == link) else {
            return;
        };
        stream.last_contact = now;
        if std::mem::take(&mut stream.silent) {
            let (zone, calls_per_s) = (stream.zone, stream.calls_per_s);
            self.tally.joins += 1;
            self.event(now, Event::ProxyJoined { proxy, zone, calls_per_s }, out);
        }
    }

    /// Treats proxies with unresponsive streams as having left. Otherwise everything sent after their oldest
    /// unacknowledged message would count as waiting and use up the planner core's accounting. The connection stays
    /// open: closing it is up to the peer, which may recover.
    pub(super) fn drop_unresponsive(&mut self, now: Moment, out: &mut Outbox) {
        let unresponsive_after = self.unresponsive_after;
        let unresponsive =
            self.peers.streams.iter().filter(|(_, stream)| stream.is_unresponsive(now, unresponsive_after));
        let unresponsive: Vec<usize> = unresponsive.map(|(proxy, _)| *proxy).collect();
        for proxy in unresponsive {
            if let Some(stream) = self.peers.streams.get_mut(&proxy) {
                stream.silent = true;
                stream.dismiss_marks();
            }
            self.tables.unbind(proxy);
            self.tally.leaves += 1;
            self.log(now, Level::Warn, "silent", vec![("proxy", self.proxies.name(proxy).to_string())], out);
            self.event(now, Event::ProxyLeft { proxy }, out);
        }
    }

    /// Sends the whole table again to proxies whose acknowledgement may have been lost. A message that cannot be read, or
    /// that acknowledges a mark that was never sent, may have been the acknowledgement of another, which would count as
    /// waiting until the next acknowledgement on the stream, and it is unknown whether the proxy has what it was sent.
    /// This comes before unresponsive streams are dropped: a proxy with nothing else to send would count as silent, and
    /// nothing would be sent to it any more.
    pub(super) fn resend_unacknowledged(&mut self, now: Moment, out: &mut Outbox) {
        let unresponsive_after = self.unresponsive_after;
        let affected = |stream: &Stream| !stream.silent && stream.may_have_lost_ack(now, unresponsive_after);
        let affected = self.peers.streams.iter().filter(|(_, stream)| affected(stream));
        let affected: Vec<usize> = affected.map(|(proxy, _)| *proxy).collect();
        for proxy in affected {
            if let Some(stream) = self.peers.streams.get_mut(&proxy) {
                stream.dismiss_marks();
                stream.spoilt_at = None;
            }
            self.tables.unbind(proxy);
            self.log(
                now,
                Level::Warn,
                "told_anew",
                vec![("proxy", self.proxies.name(proxy).to_string())],
                out,
            );
            self.event(now, Event::AcknowledgementsLost { proxy }, out);
        }
    }

    /// Processes the received messages; an error closes the connection.
    fn process_messages(
        &mut self,
        now: Moment,
        link: Link,
        peer: &mut Peer,
        out: &mut Outbox,
    ) -> Result<(), String> {
        let Peer { role, reader, since, proxy, zone: collector_zone } = peer;
        loop {
            let Some(items) = reader.next_message().map_err(|error| error.to_string())? else {
                return Ok(());
            };
            let message = parse(&items);
            let message_kind = message.as_ref().map_or(Kind::Invalid, kind);
            let (next, effect) = transition(*role, message_kind);
            let ignored = match (effect, message) {
                (MessageEffect::Pong, _) => {
                    out.send(link, pong());
                    None
                }
                (MessageEffect::Admit, Ok(message)) => {
                    match message {
                        Message::Subscribe { proxy: number, zone, calls_per_s, bare } => {
                            *proxy = self.join(now, link, (number, zone, calls_per_s, bare), out)?;
                        }
                        Message::Register { zone } => {
                            let known = self.zones.iter().position(|known| known == zone);
                            *collector_zone = known.ok_or("az: the zone does not exist")?;
                        }
                        _ => return Err("this is not how to join".into()),
                    }
                    (*role, *since) = (next, now);
                    reader.set_bounds(JOINED);
                    None
                }
                (MessageEffect::Forward, Ok(message)) => self.forward(now, *role, *proxy, message, out).err(),
                (MessageEffect::Reject, Err(invalid)) => return Err(invalid.to_string()),
                (MessageEffect::Reject, Ok(_)) => return Err("this is not how to join".into()),
                (_, Err(invalid)) => Some(invalid.reason),
                (_, Ok(_)) => Some("not from such a peer"),
            };
            if let Some(why) = ignored {
                let own = self.peers.streams.get_mut(proxy).filter(|stream| stream.link == link);
                let maybe_acknowledgement = matches!(message_kind, Kind::Invalid | Kind::Applied);
                if let Some(stream) = own.filter(|_| maybe_acknowledgement) {
                    stream.spoilt_at = Some(now);
                }
                *self.tally.omitted.entry(why).or_default() += 1;
            }
        }
    }

    fn join(
        &mut self,
        now: Moment,
        link: Link,
        (number, zone, calls_per_s, bare): (u64, &str, f64, bool),
        out: &mut Outbox,
    ) -> Result<usize, String> {
        if number >= self.max_proxies {
            return Err("sidecar: the proxy does not exist".into());
        }
        let zone = self.zones.iter().position(|known| known == zone).ok_or("az: the zone does not exist")?;
        let proxy = self.proxies.intern(&number);
        // The end of the proxy's previous stream may be noticed later and must not count.
        if let Some(old) = self.peers.streams.get(&proxy).map(|stream| stream.link) {
            if let Some(previous) = self.peers.all.get_mut(&old) {
                (previous.role, previous.since) = (PeerRole::Former, now);
            }
        }
        self.tables.unbind(proxy);
        self.peers.streams.insert(
            proxy,
            Stream {
                link,
                marks: VecDeque::new(),
                dismissed_marks: VecDeque::new(),
                last_contact: now,
                zone,
                calls_per_s,
                silent: false,
                spoilt_at: None,
            },
        );
        self.tally.joins += 1;
        let fields = vec![
            ("proxy", number.to_string()),
            ("calls_per_s", calls_per_s.to_string()),
            ("bare", bare.to_string()),
        ];
        out.log(Level::Debug, "joined", fields);
        self.event(now, Event::ProxyJoined { proxy, zone, calls_per_s }, out);
        Ok(proxy)
    }

    /// Passes a joined peer's message to the planner core as an event. Returns the reason if a name in it does not exist.
    fn forward(
        &mut self,
        now: Moment,
        role: PeerRole,
        own: usize,
        message: Message<'_>,
        out: &mut Outbox,
    ) -> Result<(), &'static str> {
        let event = match message {
            Message::ServerStats(stats) => {
                let zone = self.zones.iter().position(|known| known == stats.zone);
                let zone = zone.ok_or("the zone does not exist")?;
                let server = self.servers.get(&stats.server.to_string()).ok_or("the server is not known")?;
                self.tally.sums += 1;
                self.tally.reports += u64::from(stats.util.is_some());
                let tries = self.tally.tries.entry(server).or_default();
                *tries = (tries.0 + stats.tries, tries.1 + stats.dropped);
                let load = Load { util: stats.util, in_flight: stats.in_flight };
                let (tries, dropped) = (stats.tries as f64, stats.dropped as f64);
                Event::ServerStats {
                    server,
                    zone,
                    tries,
                    dropped,
                    mean_latency: stats.mean_latency,
                    period: stats.period,
                    load,
                }
            }
            Message::Arrivals { proxy: number, route, calls, dropped, period } => {
                let proxy = self.proxies.get(&number).filter(|at| self.joined(*at));
                let proxy = proxy.ok_or("the proxy has not joined")?;
                if role == PeerRole::Proxy && proxy != own {
                    return Err("the proxy is another");
                }
                let route = self.routes.iter().position(|known| known == route);
                let route = route.ok_or("the route does not exist")?;
                self.tally.arrivals += 1;
                Event::Arrivals { proxy, route, calls: calls as f64, dropped: dropped as f64, period }
            }
            Message::Applied { proxy: number, mark, lag } => {
                if self.proxies.get(&number) != Some(own) {
                    return Err("the proxy is another");
                }
                let stream = self.peers.streams.get_mut(&own).ok_or("the proxy has not joined")?;
                let waited_for = stream.acknowledge(mark).map_err(|UnknownMark| "the mark was not sent")?;
                self.tally.applied += 1;
                self.tally.worst_applied = self.tally.worst_applied.max(lag);
                if !waited_for {
                    return Ok(());
                }
                Event::Applied { proxy: own, mark }
            }
            Message::Ping | Message::Register { .. } | Message::Subscribe { .. } => {
                return Err("not from such a peer")
            }
        };
        self.event(now, event, out);
        Ok(())
    }

    fn joined(&self, proxy: usize) -> bool {
        self.peers.streams.get(&proxy).is_some_and(|stream| !stream.silent)
    }
}
