//! The way that can be cut: what a node and its peer see of it.

use pewtergap_node::{Effect, Ended, Input, Link, Node, Outbox};
use pewtergap_scale::wire::{Cut, Wire};
use pewtergap_time::Moment;
use std::any::Any;
use std::net::SocketAddr;

/// Dials on its word, says what it is told to, and writes down what it hears.
#[derive(Default)]
struct Peer {
    link: Option<Link>,
    heard: Vec<String>,
}

fn machine() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7))
}

impl Node for Peer {
    fn handle(&mut self, _: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Command("dial") => self.link = Some(out.connect(machine(), None)),
            Input::Command("close") => self.link.take().into_iter().for_each(|link| out.cut(link)),
            Input::Command(word) => self.link.iter().for_each(|link| out.send(*link, word.into())),
            Input::Opened { .. } => self.heard.push("opened".into()),
            Input::Bytes { bytes, .. } => self.heard.push(String::from_utf8_lossy(bytes).into_owned()),
            Input::Closed { why, .. } => self.heard.push(format!("{why:?}")),
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

const NOW: Moment = Moment(1);

struct Stage {
    wire: Wire<Peer>,
    out: Outbox,
}

impl Stage {
    fn new() -> Stage {
        Stage { wire: Wire::new(Peer::default()), out: Outbox::default() }
    }

    fn tell(&mut self, input: Input<'_>) -> Vec<Effect> {
        self.wire.handle(NOW, input, &mut self.out);
        std::mem::take(&mut self.out.effects)
    }

    fn cut(&mut self, cut: Cut) -> Vec<Effect> {
        self.wire.cut(NOW, cut, &mut self.out);
        std::mem::take(&mut self.out.effects)
    }

    fn open(&mut self) -> Link {
        let dialled = self.tell(Input::Command("dial"));
        let Some(Effect::Connect { link, .. }) = dialled.first() else { panic!("{dialled:?}") };
        self.tell(Input::Opened { link: *link });
        *link
    }

    fn heard(&mut self) -> Vec<String> {
        std::mem::take(&mut self.wire.inner.heard)
    }
}

#[test]
fn behind_a_cut_there_is_silence_and_what_was_held_goes_on() {
    let mut stage = Stage::new();
    let link = stage.open();
    assert_eq!(stage.cut(Cut::All), [Effect::Pause { link }]);
    assert_eq!(stage.tell(Input::Command("ping")), []);
    stage.tell(Input::Bytes { link, bytes: b"late" });
    assert_eq!(stage.heard(), ["opened"]);
    let healed = stage.cut(Cut::None);
    assert_eq!(healed, [Effect::Send { link, bytes: b"ping".to_vec() }, Effect::Resume { link }]);
    assert_eq!(stage.heard(), ["late"]);
    assert_eq!((stage.wire.passed.came, stage.wire.passed.went), (4, 4));
}

#[test]
fn a_close_behind_a_cut_is_told_to_the_node_and_to_the_peer_once_healed() {
    let mut stage = Stage::new();
    let link = stage.open();
    stage.cut(Cut::All);
    let closed = stage.tell(Input::Command("close"));
    let Some(Effect::SetTimer { timer, .. }) = closed.first() else { panic!("{closed:?}") };
    assert_eq!(closed.len(), 1);
    stage.tell(Input::TimerFired { timer: *timer });
    assert_eq!(stage.heard(), ["opened", "Ours"]);
    assert_eq!(stage.cut(Cut::None), [Effect::Cut { link }]);
    // Its second end is not the node's business.
    stage.tell(Input::Closed { link, why: Ended::Ours });
    assert_eq!(stage.heard(), [""; 0]);
}

#[test]
fn a_dial_behind_a_cut_leaves_when_it_heals_unless_it_was_given_up() {
    let mut stage = Stage::new();
    stage.cut(Cut::Some([machine()].into()));
    assert_eq!(stage.tell(Input::Command("dial")), []);
    stage.tell(Input::Command("close"));
    assert_eq!(stage.tell(Input::Command("dial")), []);
    let healed = stage.cut(Cut::None);
    assert!(matches!(healed.as_slice(), [Effect::Connect { .. }]), "{healed:?}");
}

#[test]
fn a_peer_that_is_not_behind_the_cut_is_reached() {
    let mut stage = Stage::new();
    let link = stage.open();
    assert_eq!(stage.cut(Cut::Some([SocketAddr::from(([127, 0, 0, 2], 7))].into())), []);
    assert_eq!(stage.tell(Input::Command("ping")), [Effect::Send { link, bytes: b"ping".to_vec() }]);
}

#[test]
fn an_end_that_came_behind_the_cut_is_heard_when_it_heals() {
    let mut stage = Stage::new();
    let link = stage.open();
    stage.cut(Cut::All);
    stage.tell(Input::Closed { link, why: Ended::Reset });
    assert_eq!(stage.heard(), ["opened"]);
    assert_eq!(stage.cut(Cut::None), []);
    assert_eq!(stage.heard(), ["Reset"]);
}

#[test]
fn a_crash_ends_links_behind_a_cut_only_once_it_heals() {
    let mut stage = Stage::new();
    let link = stage.open();
    stage.cut(Cut::All);
    stage.wire.drop_all(NOW, &mut stage.out);
    assert!(!stage.out.effects.contains(&Effect::Cut { link }));
    stage.out.effects.clear();
    assert_eq!(stage.cut(Cut::None), [Effect::Cut { link }]);
    assert_eq!(stage.heard(), ["opened"]);
}
