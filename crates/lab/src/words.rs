//! Header names of the stand-ins.

/// Names a call through all its tries.
pub const CALL: &str = "x-request-id";
/// Which try of the client's this is, from 1.
pub const ATTEMPT: &str = "x-client-try";
/// Work that the call brings, in microseconds of a core of speed 1.
pub const WORK: &str = "x-work-us";
/// When the client meant to send it, in nanoseconds since 1970.
pub const MEANT: &str = "x-meant-at";
/// In an answer: whether the call ran.
pub const RAN: &str = "x-ran";
