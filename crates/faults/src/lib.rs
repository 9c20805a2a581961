//! Failing system calls for tests. A process that loads this library ahead of the C library (`LD_PRELOAD`) sees calls
//! fail as the variable `SYSCALL_FAULTS` says: entries `CALL=ERRNO@FROM-TO`, separated by commas, with times in
//! milliseconds since the process's first intercepted call. `ERRNO` is a number; `0` makes reads and writes short
//! instead. `CALL` may be `wall_clock`, which is then stepped by `ERRNO` seconds, possibly negative.
//!
//! An entry that cannot be parsed ends the process with a message, before anything is played.

use libc::{c_int, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;
use std::sync::OnceLock;

/// Exit code of a process with an unreadable plan.
const BAD_PLAN: i32 = 64;
const CALLS: [&str; 9] =
    ["accept4", "connect", "socket", "epoll_wait", "recv", "write", "writev", "fsync", "wall_clock"];

struct Fault {
    call: &'static str,
    value: i64,
    from_ms: u64,
    to_ms: u64,
}

struct Plan {
    faults: Vec<Fault>,
    start_ms: u64,
}

fn parse_fault(entry: &str) -> Option<Fault> {
    let (call, rest) = entry.split_once('=')?;
    let (value, window) = rest.split_once('@')?;
    let (from, to) = window.split_once('-')?;
    let call = CALLS.into_iter().find(|known| *known == call)?;
    let fault =
        Fault { call, value: value.parse().ok()?, from_ms: from.parse().ok()?, to_ms: to.parse().ok()? };
    (fault.from_ms < fault.to_ms).then_some(fault)
}

/// Milliseconds of the monotonic clock, by a direct system call: the C library's function is replaced here.
fn monotonic_ms() -> u64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the kernel writes one timespec.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut time) };
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Ends the process with a message, without the functions replaced here, which need a plan.
fn refuse(message: &str) -> ! {
    // SAFETY: writes the bytes of the message and ends the process.
    unsafe {
        libc::syscall(libc::SYS_write, libc::STDERR_FILENO, message.as_ptr(), message.len());
        libc::_exit(BAD_PLAN)
    }
}

fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let text = std::env::var("SYSCALL_FAULTS").unwrap_or_default();
        let entries = text.split(',').filter(|entry| !entry.is_empty());
        let parse = |entry: &str| {
            parse_fault(entry).unwrap_or_else(|| {
                refuse(&format!(
                    "SYSCALL_FAULTS: '{entry}' is not CALL=ERRNO@FROM-TO with a call of {CALLS:?}\n"
                ))
            })
        };
        Plan { faults: entries.map(parse).collect(), start_ms: monotonic_ms() }
    })
}

/// What a call has to do now, if a fault of the plan is in force.
fn fault(call: &str) -> Option<i64> {
    let plan = plan();
    let elapsed = monotonic_ms() - plan.start_ms;
    let in_force = |fault: &&Fault| fault.call == call && (fault.from_ms..fault.to_ms).contains(&elapsed);
    plan.faults.iter().find(in_force).map(|fault| fault.value)
}

fn fail(errno: i64) {
    // SAFETY: the address of this thread's errno.
    unsafe { *libc::__errno_location() = errno as c_int };
}

/// The C library's own function of this name.
fn original(name: &CStr) -> *mut c_void {
    // SAFETY: looks up a symbol by a terminated name.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

/// Defines a replacement that fails by the plan and calls the original otherwise.
macro_rules! replace {
    ($symbol:ident, $call:literal, ($($name:ident: $type:ty),*) -> $result:ty) => {
        /// # Safety
        /// As the function of the C library.
        #[no_mangle]
        pub unsafe extern "C" fn $symbol($($name: $type),*) -> $result {
            if let Some(errno) = fault($call).filter(|errno| *errno != 0) {
                fail(errno);
                return -1;
            }
            static ORIGINAL: OnceLock<usize> = OnceLock::new();
            let address = *ORIGINAL.get_or_init(|| {
                original(CStr::from_bytes_with_nul_unchecked(concat!(stringify!($symbol), "\0").as_bytes())) as usize
            });
            let function: unsafe extern "C" fn($($type),*) -> $result = std::mem::transmute(address);
            function($($name),*)
        }
    };
}

replace!(accept4, "accept4", (socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int);
replace!(connect, "connect", (socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
replace!(socket, "socket", (domain: c_int, kind: c_int, protocol: c_int) -> c_int);
replace!(epoll_wait, "epoll_wait", (epoll: c_int, events: *mut epoll_event, max: c_int, timeout: c_int) -> c_int);
replace!(fsync, "fsync", (file: c_int) -> c_int);
replace!(fdatasync, "fsync", (file: c_int) -> c_int);

/// # Safety
/// As the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match fault("recv") {
        Some(0) => length.min(1),
        Some(errno) => {
            fail(errno);
            return -1;
        }
        None => length,
    };
    libc::syscall(libc::SYS_recvfrom, socket, buffer, length, flags, 0, 0) as ssize_t
}

/// # Safety
/// As the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    match fault("writev") {
        Some(0) if count > 0 => {
            let first = &*buffers;
            libc::syscall(libc::SYS_write, file, first.iov_base, first.iov_len.min(1)) as ssize_t
        }
        Some(errno) if errno != 0 => {
            fail(errno);
            -1
        }
        _ => libc::syscall(libc::SYS_writev, file, buffers, count) as ssize_t,
    }
}

/// # Safety
/// As the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    // Standard streams are left alone, so that a failing process can still be read.
    let length = match fault("write").filter(|_| file > libc::STDERR_FILENO) {
        Some(0) => length.min(1),
        Some(errno) => {
            fail(errno);
            return -1;
        }
        None => length,
    };
    libc::syscall(libc::SYS_write, file, buffer, length) as ssize_t
}

/// # Safety
/// As the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        (*time).tv_sec += fault("wall_clock").unwrap_or(0);
    }
    result
}
