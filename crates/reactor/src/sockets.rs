//! Listeners, streams and atomic file writes, independent of nodes.

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
const MAX_IO_SLICES: usize = 32;

pub struct Listener {
    pub listener: TcpListener,
}

impl Listener {
    pub fn open(at: SocketAddr) -> io::Result<Listener> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SockAddr::from(at))?;
        // With the usual backlog of 128, a thousand proxies connecting at once overflowed it and each waited a second.
        socket.listen(BACKLOG)?;
        Ok(Listener { listener: TcpListener::from_std(socket.into()) })
    }

    /// Accepts the next connection. An error concerns this call alone: the next one may succeed.
    pub fn accept(&mut self) -> io::Result<Option<(Conn, SocketAddr)>> {
        match self.listener.accept() {
            Ok((stream, from)) => Ok(Some((Conn::accepted(stream), from))),
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }
}

/// Whether a failed accept is to be repeated at once: the peer closed the connection before it was accepted, or the call
/// was interrupted.
pub fn accept_may_be_repeated(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted)
}

pub enum ReadOutcome {
    Bytes(usize),
    Nothing,
    /// The call was interrupted; there may be more to read.
    Interrupted,
    Ended(Ended),
}

pub struct Conn {
    pub stream: TcpStream,
    pub open: bool,
    /// Accepted from a listener. Once the peer has reset it, nobody waits for answers any more.
    pub accepted: bool,
    pub paused: bool,
    pub finishing: bool,
    unwritten: VecDeque<Vec<u8>>,
    /// Bytes of the first buffer that are already written.
    first_written: usize,
    unwritten_len: usize,
    /// The last write was interrupted and has to be repeated: the kernel reports no readiness for it.
    pub write_interrupted: bool,
    /// Set once writing has failed, with the reason; bytes already received are still read.
    write_error: Option<Ended>,
}

impl Conn {
    fn accepted(stream: TcpStream) -> Conn {
        Conn { open: true, accepted: true, ..Conn::connecting(stream) }
    }

    fn connecting(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        let unwritten = VecDeque::new();
        Conn {
            stream,
            open: false,
            accepted: false,
            paused: false,
            finishing: false,
            unwritten,
            first_written: 0,
            unwritten_len: 0,
            write_interrupted: false,
            write_error: None,
        }
    }

    /// Wraps an accepted connection from another reactor.
    pub fn from_std(stream: std::net::TcpStream) -> Conn {
        Conn::accepted(TcpStream::from_std(stream))
    }

    pub fn into_std(self) -> std::net::TcpStream {
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
            // An interrupted connect goes on by itself.
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        Ok(Conn::connecting(TcpStream::from_std(socket.into())))
    }

    /// Whether a pending connect has completed.
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

    /// Stops writing; the link is closed for this reason once all received bytes are read.
    pub fn stop_writing(&mut self, why: Ended) {
        self.write_error = Some(why);
        self.unwritten.clear();
        (self.first_written, self.unwritten_len) = (0, 0);
    }

    pub fn queue(&mut self, bytes: Vec<u8>) {
        if self.write_error.is_some() {
            return;
        }
        self.unwritten_len += bytes.len();
        if !bytes.is_empty() {
            self.unwritten.push_back(bytes);
        }
    }

    pub fn unwritten(&self) -> usize {
        self.unwritten_len
    }

    pub fn write(&mut self) -> Result<(), Ended> {
        self.write_interrupted = false;
        while self.open && !self.unwritten.is_empty() {
            let first = IoSlice::new(&self.unwritten[0][self.first_written..]);
            let rest = self.unwritten.iter().skip(1).take(MAX_IO_SLICES - 1).map(|bytes| IoSlice::new(bytes));
            let slices: Vec<IoSlice> = std::iter::once(first).chain(rest).collect();
            match self.stream.write_vectored(&slices) {
                Ok(mut wrote) => {
                    self.unwritten_len -= wrote;
                    while let Some(left) =
                        self.unwritten.front().map(|bytes| bytes.len() - self.first_written)
                    {
                        if wrote < left {
                            self.first_written += wrote;
                            break;
                        }
                        wrote -= left;
                        self.first_written = 0;
                        self.unwritten.pop_front();
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {
                    self.write_interrupted = true;
                    return Ok(());
                }
                Err(_) => return Err(Ended::Reset),
            }
        }
        Ok(())
    }

    pub fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        match self.stream.read(buffer) {
            Ok(0) => ReadOutcome::Ended(self.write_error.unwrap_or(Ended::Done)),
            Ok(count) => ReadOutcome::Bytes(count),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                self.write_error.map_or(ReadOutcome::Nothing, ReadOutcome::Ended)
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => ReadOutcome::Interrupted,
            Err(_) => ReadOutcome::Ended(Ended::Reset),
        }
    }

    pub fn reset_on_drop(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Writes a temporary file, syncs it and renames it over `path`: a reader finds the old or the new content in full.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    path.parent().map_or(Ok(()), |dir| {
        File::open(if dir.as_os_str().is_empty() { Path::new(".") } else { dir })?.sync_all()
    })
}
