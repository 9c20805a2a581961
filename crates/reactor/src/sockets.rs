//! Listeners, streams and kept files; nothing here knows a node.

use mio::net::{TcpListener, TcpStream};
use pewtergap_node::Ended;
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

const BACKLOG: i32 = 4096;
const SLICES: usize = 32;

pub struct Door {
    pub listener: TcpListener,
}

impl Door {
    pub fn open(at: SocketAddr) -> io::Result<Door> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SockAddr::from(at))?;
        // A thousand proxies that come at once found the usual backlog of 128 full and waited a second each.
        socket.listen(BACKLOG)?;
        Ok(Door { listener: TcpListener::from_std(socket.into()) })
    }

    pub fn accept(&mut self) -> io::Result<Option<(Conn, SocketAddr)>> {
        loop {
            match self.listener.accept() {
                Ok((stream, from)) => return Ok(Some((Conn::new(stream, true), from))),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                // The peer went before it was taken in.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => return Err(e),
            }
        }
    }
}

pub enum Taken {
    Bytes(usize),
    Nothing,
    Ended(Ended),
}

pub struct Conn {
    pub stream: TcpStream,
    pub open: bool,
    pub paused: bool,
    pub finishing: bool,
    unwritten: VecDeque<Vec<u8>>,
    /// Bytes of the first buffer that are written.
    done: usize,
    count: usize,
    /// Nothing can be written any more, and why; what has come is still read.
    broken: Option<Ended>,
}

impl Conn {
    fn new(stream: TcpStream, open: bool) -> Conn {
        let _ = stream.set_nodelay(true);
        let unwritten = VecDeque::new();
        Conn { stream, open, paused: false, finishing: false, unwritten, done: 0, count: 0, broken: None }
    }

    /// A connection that stands already, from another reactor.
    pub fn taken_over(stream: std::net::TcpStream) -> Conn {
        Conn::new(TcpStream::from_std(stream), true)
    }

    pub fn given_away(self) -> std::net::TcpStream {
        self.stream.into()
    }

    pub fn connect(to: SocketAddr, from: Option<IpAddr>) -> io::Result<Conn> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        if let Some(from) = from {
            socket.bind(&SockAddr::from(SocketAddr::new(from, 0)))?;
        }
        match socket.connect(&SockAddr::from(to)) {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        Ok(Conn::new(TcpStream::from_std(socket.into()), false))
    }

    /// Whether a connection that was asked for stands by now.
    pub fn established(&self) -> io::Result<bool> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected || e.raw_os_error() == Some(libc::EINPROGRESS) => {
                Ok(false)
            }
            Err(e) => Err(e),
        }
    }

    /// From here on nothing is written; the link ends for this reason once all that came is read.
    pub fn give_up(&mut self, why: Ended) {
        self.broken = Some(why);
        self.unwritten.clear();
        (self.done, self.count) = (0, 0);
    }

    pub fn queue(&mut self, bytes: Vec<u8>) {
        if self.broken.is_some() {
            return;
        }
        self.count += bytes.len();
        if !bytes.is_empty() {
            self.unwritten.push_back(bytes);
        }
    }

    pub fn unwritten(&self) -> usize {
        self.count
    }

    pub fn write(&mut self) -> Result<(), Ended> {
        while self.open && !self.unwritten.is_empty() {
            let first = IoSlice::new(&self.unwritten[0][self.done..]);
            let rest = self.unwritten.iter().skip(1).take(SLICES - 1).map(|bytes| IoSlice::new(bytes));
            let slices: Vec<IoSlice> = std::iter::once(first).chain(rest).collect();
            match self.stream.write_vectored(&slices) {
                Ok(mut wrote) => {
                    self.count -= wrote;
                    while let Some(left) = self.unwritten.front().map(|bytes| bytes.len() - self.done) {
                        if wrote < left {
                            self.done += wrote;
                            break;
                        }
                        wrote -= left;
                        self.done = 0;
                        self.unwritten.pop_front();
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Ended::Reset),
            }
        }
        Ok(())
    }

    pub fn read(&mut self, buffer: &mut [u8]) -> Taken {
        loop {
            return match self.stream.read(buffer) {
                Ok(0) => Taken::Ended(self.broken.unwrap_or(Ended::Done)),
                Ok(count) => Taken::Bytes(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.broken.map_or(Taken::Nothing, Taken::Ended)
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => Taken::Ended(Ended::Reset),
            };
        }
    }

    pub fn reset_on_drop(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Writes beside the file, syncs and renames: a reader finds the old file or the new one, never a part.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    path.parent().map_or(Ok(()), |dir| {
        File::open(if dir.as_os_str().is_empty() { Path::new(".") } else { dir })?.sync_all()
    })
}
