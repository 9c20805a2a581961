//! The door: names from outside become small indices, in order of first sight; places given up are taken first.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

#[derive(Debug)]
pub struct Interner<Id> {
    indices: HashMap<Id, usize>,
    names: Vec<Id>,
    /// Places whose names were given up; lowest first, so that the same events lead to the same indices.
    free: BTreeSet<usize>,
}

impl<Id: Clone + Eq + Hash> Default for Interner<Id> {
    fn default() -> Self {
        Interner { indices: HashMap::new(), names: Vec::new(), free: BTreeSet::new() }
    }
}

impl<Id: Clone + Eq + Hash> Interner<Id> {
    /// The index of a name, a new one if it was never seen or has been forgotten.
    pub fn intern(&mut self, name: &Id) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = match self.free.pop_first() {
            Some(free) => {
                self.names[free] = name.clone();
                free
            }
            None => {
                self.names.push(name.clone());
                self.names.len() - 1
            }
        };
        self.indices.insert(name.clone(), index);
        index
    }

    /// Gives a place up; only when nothing names it any more. Its name is kept for the log until another has it.
    pub fn release(&mut self, index: usize) {
        if self.indices.get(&self.names[index]) == Some(&index) {
            self.indices.remove(&self.names[index]);
            self.free.insert(index);
        }
    }

    /// The index of a name, if it was seen.
    pub fn get(&self, name: &Id) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Places so far, free ones too.
    pub fn slots(&self) -> usize {
        self.names.len()
    }

    pub fn name(&self, index: usize) -> &Id {
        &self.names[index]
    }
}
