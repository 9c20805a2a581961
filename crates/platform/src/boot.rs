//! From the start of the process to a planner: reads what the platform tells it, and again while it cannot be read.
//!
//! The file is read by the node and not before it, so that a signal which comes meanwhile is one the process has
//! caught, and so that a file which is just being replaced is no refusal to start.

use crate::config::Config;
use crate::node::Platform;
use pewtergap_node::{Effect, Input, Level, Node, Outbox};
use pewtergap_time::{Moment, Span};
use std::any::Any;

/// A file that cannot be read is read again so long apart, up to so long after the start.
const READ: (Span, Span) = (Span::millis(100), Span::millis(3_000));
/// None of the planner's own timers; one that is left over means nothing to it.
const AGAIN: u64 = 0;

type Variables = Box<dyn Fn(&str) -> Option<String> + Send>;

enum Stage {
    /// Until when the file may be unreadable.
    Reading(Moment),
    Running(Box<Platform>),
}

pub struct Boot {
    file: String,
    /// Looks up one of the platform's variables.
    variables: Variables,
    stage: Stage,
}

impl Boot {
    pub fn new(file: String, variables: impl Fn(&str) -> Option<String> + Send + 'static) -> Boot {
        Boot { file, variables: Box::new(variables), stage: Stage::Reading(Moment(0)) }
    }

    fn read(&mut self, now: Moment, until: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        match Config::of_file(bytes, &self.variables) {
            Ok(config) => {
                let mut planner = Box::new(Platform::new(now, config, self.file.clone()));
                planner.handle(now, Input::Start, out);
                self.stage = Stage::Running(planner);
            }
            Err(why) => {
                let why = format!("{}: {why}", self.file);
                out.log(Level::Error, "configuration_refused", vec![("why", why)]);
                if now < until {
                    out.set_timer(AGAIN, now + READ.0);
                } else {
                    out.push(Effect::Exit { code: 2 });
                }
            }
        }
    }
}

impl Node for Boot {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let until = match &mut self.stage {
            Stage::Running(planner) => return planner.handle(now, input, out),
            Stage::Reading(until) => until,
        };
        match input {
            Input::Start => {
                *until = now + READ.1;
                out.push(Effect::ReadFile { name: self.file.clone() });
            }
            Input::TimerFired { timer: AGAIN } => out.push(Effect::ReadFile { name: self.file.clone() }),
            Input::File { bytes, .. } => {
                let until = *until;
                self.read(now, until, bytes, out);
            }
            Input::Stop => {
                out.log(Level::Info, "stopped", vec![]);
                out.push(Effect::Exit { code: 0 });
            }
            // A reload asks for what is under way.
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
