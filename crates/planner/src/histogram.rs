//! A histogram with a few coarse bins. The caller supplies the bin edges and halves the counts to age them.

/// Bin `i` ends below `edges[i]`; the last bin is unbounded.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    edges: &'static [f64],
    counts: Vec<f64>,
}

impl Histogram {
    pub fn add(&mut self, edges: &'static [f64], value: f64, times: f64) {
        self.edges = edges;
        self.counts.resize(edges.len() + 1, 0.0);
        let bin = edges.iter().take_while(|edge| value >= **edge).count();
        self.counts[bin] += times;
    }

    pub fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2.0);
    }

    pub fn clear(&mut self) {
        self.counts.iter_mut().for_each(|count| *count = 0.0);
    }

    pub fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Mean of the values, counting each bin at its middle and the last one at its lower edge.
    pub fn mean(&self) -> Option<f64> {
        let middle = |bin: usize| {
            let low = if bin == 0 { 0.0 } else { self.edges[bin - 1] };
            (low + self.edges.get(bin).copied().unwrap_or(low)) / 2.0
        };
        let sum: f64 = self.counts.iter().enumerate().map(|(bin, count)| middle(bin) * count).sum();
        (self.total() > 0.0).then(|| sum / self.total())
    }
}
