//! A connection between two machines: two directions, each with what is on its way.

use pewtergap_node::Link;
use pewtergap_time::Moment;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
pub struct End {
    pub machine: usize,
    /// None before it stands at this end, and after it was closed there.
    pub link: Option<Link>,
}

#[derive(Default)]
struct Way {
    pieces: VecDeque<(Moment, Vec<u8>)>,
    /// The sender has finished, and when that arrives.
    finished: Option<Moment>,
}

pub struct Wire {
    pub ends: [End; 2],
    pub door: u32,
    pub stands: bool,
    ways: [Way; 2],
}

impl Wire {
    pub fn new(near: usize, link: Link, far: usize, door: u32) -> Wire {
        let ends = [End { machine: near, link: Some(link) }, End { machine: far, link: None }];
        Wire { ends, door, stands: false, ways: [Way::default(), Way::default()] }
    }

    /// In order: nothing overtakes.
    pub fn put(&mut self, way: usize, due: Moment, bytes: Vec<u8>) {
        let last = self.ways[way].pieces.back().map_or(due, |last| last.0.max(due));
        self.ways[way].pieces.push_back((last, bytes));
    }

    pub fn waiting(&self, way: usize) -> usize {
        self.ways[way].pieces.iter().map(|piece| piece.1.len()).sum()
    }

    pub fn finish(&mut self, way: usize, now: Moment) {
        let last = self.ways[way].pieces.back().map_or(now, |last| last.0);
        self.ways[way].finished = Some(last);
    }

    pub fn due(&self, way: usize) -> Option<Moment> {
        self.ways[way].pieces.front().map(|piece| piece.0).or(self.ways[way].finished)
    }

    /// The next piece, or so many bytes of it; none at the end.
    pub fn take(&mut self, way: usize, most: Option<usize>) -> Option<Vec<u8>> {
        let way = &mut self.ways[way];
        let (due, mut piece) = way.pieces.pop_front()?;
        if let Some(most) = most.filter(|most| *most < piece.len()) {
            let rest = piece.split_off(most);
            way.pieces.push_front((due, rest));
        }
        Some(piece)
    }
}
