//! Connections in number and requests at full speed: the operators' endpoint, and peers without a hello.

use pewtergap_control::{AdminRequest, AdminServer};
use pewtergap_node::{Effect, Link, Outbox};

const REQUEST: &[u8] = b"GET /metrics HTTP/1.1\r\n\r\n";

fn take_continued(out: &mut Outbox) -> Vec<Link> {
    let continued = |effect: Effect| match effect {
        Effect::Continue { link } => Some(link),
        _ => None,
    };
    std::mem::take(&mut out.effects).into_iter().filter_map(continued).collect()
}

#[test]
fn requests_behind_one_another_are_passed_on_one_in_a_round_and_answered_in_order() {
    // Guards against an operators' client that holds up proxies: all requests of one read were handled in one go.
    let (mut server, mut out) = (AdminServer::default(), Outbox::default());
    let link = Link(1);
    server.accepted(link, &mut out);
    let mut passed_on = 0;
    let mut request: Option<AdminRequest> = server.receive(link, &REQUEST.repeat(100), &mut out);
    while let Some(AdminRequest { link, .. }) = request {
        passed_on += 1;
        assert!(server.receive(link, b"", &mut out).is_none(), "one before its answer");
        server.answer(link, 200, "text/plain", "fine", &mut out);
        let continued = take_continued(&mut out);
        assert!(continued.len() <= 1, "one more round for the link, not several");
        request = continued.first().and_then(|link| server.receive(*link, b"", &mut out));
    }
    assert_eq!(passed_on, 100);
}

#[test]
fn silent_connections_make_room_for_an_operator() {
    // Guards against connections that send nothing, or half a request, and keep operators out for good.
    let (mut server, mut out) = (AdminServer::default(), Outbox::default());
    for number in 0..200 {
        server.accepted(Link(number), &mut out);
        assert!(server.receive(Link(number), b"GET /metr", &mut out).is_none());
    }
    let busy = Link(1_000);
    server.accepted(busy, &mut out);
    assert!(server.receive(busy, REQUEST, &mut out).is_some(), "the newcomer is heard");
    for number in 2_000..2_100 {
        server.accepted(Link(number), &mut out);
    }
    assert!(server.owns_link(busy), "a connection that waits for its answer is kept");
    let cut = out.effects.iter().filter(|effect| matches!(effect, Effect::Cut { .. })).count();
    assert_eq!(cut, 301 - 64, "no more are closed than have to be");
}

#[test]
fn an_invalid_request_is_answered_once() {
    // Guards against memory that grows with what a client sends behind an invalid request.
    let (mut server, mut out) = (AdminServer::default(), Outbox::default());
    let link = Link(1);
    server.accepted(link, &mut out);
    for _ in 0..100 {
        assert!(server.receive(link, b"no request\r\n\r\n", &mut out).is_none());
    }
    let answers = out.effects.iter().filter(|effect| matches!(effect, Effect::Send { .. })).count();
    assert_eq!(answers, 1);
}
