//! The door: names from outside become small indices, in order of first sight.

use std::collections::HashMap;
use std::hash::Hash;

#[derive(Debug)]
pub struct Door<Id> {
    indices: HashMap<Id, usize>,
    names: Vec<Id>,
}

impl<Id: Clone + Eq + Hash> Default for Door<Id> {
    fn default() -> Self {
        Door { indices: HashMap::new(), names: Vec::new() }
    }
}

impl<Id: Clone + Eq + Hash> Door<Id> {
    /// The index of a name, a new one if it was never seen.
    pub fn admit(&mut self, name: &Id) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        self.names.push(name.clone());
        self.indices.insert(name.clone(), self.names.len() - 1);
        self.names.len() - 1
    }

    /// The index of a name, if it was seen.
    pub fn find(&self, name: &Id) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Names seen so far.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    pub fn name(&self, index: usize) -> &Id {
        &self.names[index]
    }
}
