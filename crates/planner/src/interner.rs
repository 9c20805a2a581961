//! Maps external names to small indices, in order of first use. Released indices are reused first.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

#[derive(Debug)]
pub struct Interner<Id> {
    indices: HashMap<Id, usize>,
    names: Vec<Id>,
    /// Released indices. The lowest is reused first, so that the same events always lead to the same
    /// indices.
    free: BTreeSet<usize>,
}

impl<Id: Clone + Eq + Hash> Default for Interner<Id> {
    fn default() -> Self {
        Interner { indices: HashMap::new(), names: Vec::new(), free: BTreeSet::new() }
    }
}

impl<Id: Clone + Eq + Hash> Interner<Id> {
    /// Returns the index of a name, assigning one if the name is new or was released.
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

    /// Releases an index, which nothing may refer to any more. Its name is kept for logging until the index
    /// is reused.
    pub fn release(&mut self, index: usize) {
        if self.indices.get(&self.names[index]) == Some(&index) {
            self.indices.remove(&self.names[index]);
            self.free.insert(index);
        }
    }

    /// Returns the index of a name if it has one.
    pub fn get(&self, name: &Id) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Number of indices ever assigned, including released ones.
    pub fn slots(&self) -> usize {
        self.names.len()
    }

    pub fn name(&self, index: usize) -> &Id {
        &self.names[index]
    }
}
