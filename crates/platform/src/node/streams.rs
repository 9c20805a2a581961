//! Connections that came in: who stands behind each, what it says, and what its end or its silence means.

use super::*;

impl Platform {
    /// Connections that may stand at once, whoever they are.
    fn room(&self) -> usize {
        self.limits.sockets.saturating_sub(OWN_SOCKETS + most_probes(self.limits))
    }

    pub(super) fn accepted(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        let reader = Reader::new(STRANGERS);
        let peer = Peer { stand: Stand::Stranger, reader, since: now, proxy: 0, zone: 0 };
        self.peers.all.insert(link, peer);
        // Whoever joins finds room as long as somebody is there who has not.
        while self.peers.all.len() > self.room() {
            let Some(oldest) = self.peers.loose().next().map(|loose| loose.0) else { return };
            self.turn_away(now, oldest, "no room", out);
        }
    }

    /// Ends a connection; one that has not joined is told why.
    pub(super) fn turn_away(&mut self, now: Moment, link: Link, why: &str, out: &mut Outbox) {
        let Some(peer) = self.peers.all.remove(&link) else { return };
        self.peers.held -= peer.reader.buffered();
        self.gone(now, link, &peer, out);
        if peer.stand == Stand::Stranger {
            self.tally.turned_away += 1;
            out.send(link, nack(why));
            out.finish(link);
            // One that asks for signs of life and reads none would never take its last word: the connection stood
            // for good, counted by nobody. What could be written at once is written by now.
            out.cut(link);
        } else {
            let fields = vec![("stand", format!("{:?}", peer.stand)), ("why", why.to_string())];
            self.log(now, Level::Warn, "closed", fields, out);
            out.cut(link);
        }
    }

    /// What the end of a connection means: for a proxy's present stream, that the proxy has left.
    fn gone(&mut self, now: Moment, link: Link, peer: &Peer, out: &mut Outbox) {
        let present = self.peers.streams.get(&peer.proxy).is_some_and(|stream| stream.link == link);
        if peer.stand == Stand::Proxy && present {
            if self.peers.streams.remove(&peer.proxy).is_some_and(|stream| stream.silent) {
                return;
            }
            self.tables.forget(peer.proxy);
            self.tally.leaves += 1;
            self.event(now, Event::ProxyLeft { proxy: peer.proxy }, out);
        }
    }

    pub(super) fn closed(&mut self, now: Moment, link: Link, why: Ended, out: &mut Outbox) {
        if let Some(peer) = self.peers.all.remove(&link) {
            self.peers.held -= peer.reader.buffered();
            if why == Ended::Overflow {
                let fields = vec![("stand", format!("{:?}", peer.stand)), ("why", "does not read".into())];
                self.log(now, Level::Warn, "closed", fields, out);
            }
            self.gone(now, link, &peer, out);
        }
    }

    pub(super) fn heard(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some(mut peer) = self.peers.all.remove(&link) else { return };
        self.peers.held -= peer.reader.buffered();
        if peer.stand == Stand::Proxy {
            self.speaks(now, link, peer.proxy, out);
        }
        peer.reader.push(bytes);
        let before = peer.stand;
        let heard = self.listen_to(now, link, &mut peer, out);
        let collects = (before != peer.stand && peer.stand == Stand::Collector).then_some(peer.zone);
        peer.reader.shrink();
        self.peers.held += peer.reader.buffered();
        self.peers.all.insert(link, peer);
        let most = (self.limits.memory_mb * 1024 * 1024 / HELD) as usize;
        match heard {
            Err(why) => self.turn_away(now, link, &why, out),
            Ok(()) if self.peers.held > most => self.turn_away(now, link, "messages too long for all", out),
            Ok(()) => {}
        }
        if let Some(zone) = collects {
            self.former_collectors(now, zone, out);
        }
    }

    /// A collector that was cut off comes again, and its former connection stands silent for good: kept, each cut left
    /// one more, and no proxy's joining would find its descriptor free in the end.
    fn former_collectors(&mut self, now: Moment, zone: usize, out: &mut Outbox) {
        let of_zone = |peer: &Peer| peer.stand == Stand::Collector && peer.zone == zone;
        let collectors = self.peers.all.iter().filter(|(_, peer)| of_zone(peer));
        let mut collectors: Vec<(Moment, Link)> =
            collectors.map(|(link, peer)| (peer.since, *link)).collect();
        collectors.sort();
        let over = collectors.len().saturating_sub(MOST_COLLECTORS);
        for (_, link) in collectors.into_iter().take(over) {
            self.turn_away(now, link, "another collector of the zone", out);
        }
    }

    /// A stream that was silent is heard again: to the module its proxy comes anew and is handed its table whole.
    fn speaks(&mut self, now: Moment, link: Link, proxy: usize, out: &mut Outbox) {
        let Some(stream) = self.peers.streams.get_mut(&proxy).filter(|stream| stream.link == link) else {
            return;
        };
        stream.heard = now;
        if std::mem::take(&mut stream.silent) {
            let (zone, calls_per_s) = (stream.zone, stream.calls_per_s);
            self.tally.joins += 1;
            self.event(now, Event::ProxyJoined { proxy, zone, calls_per_s }, out);
        }
    }

    /// Streams that went silent count as left, or all that is ordered after their oldest unanswered message would
    /// count as waiting and fill the account. The connection stays: to end it is not ours, and it may come back.
    pub(super) fn silence(&mut self, now: Moment, out: &mut Outbox) {
        let unresponsive_after = self.unresponsive_after;
        let overdue = self.peers.streams.iter().filter(|(_, stream)| stream.overdue(now, unresponsive_after));
        let overdue: Vec<usize> = overdue.map(|(proxy, _)| *proxy).collect();
        for proxy in overdue {
            if let Some(stream) = self.peers.streams.get_mut(&proxy) {
                stream.silent = true;
                stream.marks.clear();
            }
            self.tables.forget(proxy);
            self.tally.leaves += 1;
            self.log(now, Level::Warn, "silent", vec![("proxy", self.proxies.name(proxy).to_string())], out);
            self.event(now, Event::ProxyLeft { proxy }, out);
        }
    }

    /// What came spoilt may have been the answer to a mark: that would count as waiting until the next answer on the
    /// stream. Whether the proxy has what it was sent cannot be known, so it is handed its table anew.
    pub(super) fn tell_anew(&mut self, now: Moment, out: &mut Outbox) {
        let unresponsive_after = self.unresponsive_after;
        let unsure = |stream: &Stream| !stream.silent && stream.unsure(now, unresponsive_after);
        let unsure = self.peers.streams.iter().filter(|(_, stream)| unsure(stream));
        let unsure: Vec<(usize, usize, f64)> =
            unsure.map(|(proxy, stream)| (*proxy, stream.zone, stream.calls_per_s)).collect();
        for (proxy, zone, calls_per_s) in unsure {
            if let Some(stream) = self.peers.streams.get_mut(&proxy) {
                stream.marks.clear();
                stream.spoilt = None;
            }
            self.tables.forget(proxy);
            self.log(
                now,
                Level::Warn,
                "told_anew",
                vec![("proxy", self.proxies.name(proxy).to_string())],
                out,
            );
            self.event(now, Event::ProxyLeft { proxy }, out);
            self.event(now, Event::ProxyJoined { proxy, zone, calls_per_s }, out);
        }
    }

    /// Reads what has come; an error ends the connection.
    fn listen_to(
        &mut self,
        now: Moment,
        link: Link,
        peer: &mut Peer,
        out: &mut Outbox,
    ) -> Result<(), String> {
        let Peer { stand, reader, since, proxy, zone: at } = peer;
        loop {
            let Some(items) = reader.next_message().map_err(|wrong| wrong.to_string())? else {
                return Ok(());
            };
            let said = parse(&items);
            let what = said.as_ref().map_or(Kind::Spoilt, kind);
            let (next, does) = transition(*stand, what);
            let omitted = match (does, said) {
                (Does::Pong, _) => {
                    out.send(link, pong());
                    None
                }
                (Does::Admit, Ok(said)) => {
                    match said {
                        Message::Joins { proxy: number, zone, calls_per_s, bare } => {
                            *proxy = self.join(now, link, (number, zone, calls_per_s, bare), out)?;
                        }
                        Message::Collects { zone } => {
                            let known = self.zones.iter().position(|known| known == zone);
                            *at = known.ok_or("az: the zone does not exist")?;
                        }
                        _ => return Err("this is not how to join".into()),
                    }
                    (*stand, *since) = (next, now);
                    reader.set_bounds(JOINED);
                    None
                }
                (Does::Tell, Ok(said)) => self.tell(now, *stand, *proxy, said, out).err(),
                (Does::Refuse, Err(spoilt)) => return Err(spoilt.to_string()),
                (Does::Refuse, Ok(_)) => return Err("this is not how to join".into()),
                (_, Err(spoilt)) => Some(spoilt.what),
                (_, Ok(_)) => Some("not from such a peer"),
            };
            if let Some(why) = omitted {
                let own = self.peers.streams.get_mut(proxy).filter(|stream| stream.link == link);
                if let Some(stream) = own.filter(|_| what == Kind::Spoilt) {
                    stream.spoilt = Some(now);
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
        if number >= self.most_proxies {
            return Err("sidecar: the proxy does not exist".into());
        }
        let zone = self.zones.iter().position(|known| known == zone).ok_or("az: the zone does not exist")?;
        let proxy = self.proxies.intern(&number);
        // The end of the stream it had may be seen later; it changes nothing any more.
        if let Some(old) = self.peers.streams.get(&proxy).map(|stream| stream.link) {
            if let Some(former) = self.peers.all.get_mut(&old) {
                (former.stand, former.since) = (Stand::Former, now);
            }
        }
        self.tables.forget(proxy);
        self.peers.streams.insert(
            proxy,
            Stream {
                link,
                marks: VecDeque::new(),
                heard: now,
                zone,
                calls_per_s,
                silent: false,
                spoilt: None,
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

    /// Tells the module what a joined peer says; why not, if something it names does not exist.
    fn tell(
        &mut self,
        now: Moment,
        stand: Stand,
        own: usize,
        said: Message<'_>,
        out: &mut Outbox,
    ) -> Result<(), &'static str> {
        let event = match said {
            Message::ServerStats(sums) => {
                let zone = self.zones.iter().position(|known| known == sums.zone);
                let zone = zone.ok_or("the zone does not exist")?;
                let server = self.servers.get(&sums.server.to_string()).ok_or("the server is not known")?;
                self.tally.sums += 1;
                self.tally.reports += u64::from(sums.util.is_some());
                let tries = self.tally.tries.entry(server).or_default();
                *tries = (tries.0 + sums.tries, tries.1 + sums.dropped);
                let load = Load { util: sums.util, in_flight: sums.in_hand };
                let (tries, dropped) = (sums.tries as f64, sums.dropped as f64);
                Event::ServerStats {
                    server,
                    zone,
                    tries,
                    dropped,
                    mean_latency: sums.mean,
                    period: sums.over,
                    load,
                }
            }
            Message::Arrivals { proxy: number, route, calls, dropped, over } => {
                let proxy = self.proxies.get(&number).filter(|at| self.joined(*at));
                let proxy = proxy.ok_or("the proxy has not joined")?;
                if stand == Stand::Proxy && proxy != own {
                    return Err("the proxy is another");
                }
                let route = self.routes.iter().position(|known| known == route);
                let route = route.ok_or("the route does not exist")?;
                self.tally.arrivals += 1;
                Event::Arrivals { proxy, route, calls: calls as f64, dropped: dropped as f64, period: over }
            }
            Message::Applied { proxy: number, mark, after } => {
                if self.proxies.get(&number) != Some(own) {
                    return Err("the proxy is another");
                }
                let stream = self.peers.streams.get_mut(&own).ok_or("the proxy has not joined")?;
                let sent = stream.marks.iter().position(|sent| sent.0 == mark);
                stream.marks.drain(..=sent.ok_or("the mark was not sent")?);
                self.tally.applied += 1;
                self.tally.worst_applied = self.tally.worst_applied.max(after);
                Event::Applied { proxy: own, mark }
            }
            Message::Ping | Message::Collects { .. } | Message::Joins { .. } => {
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
