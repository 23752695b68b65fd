//! A min-heap of small indices ordered by a key, from which any index can be removed.

/// Four children to a node give half the depth of a binary heap, and the children of a node are adjacent in memory.
const ARITY: usize = 4;
const ABSENT: u32 = u32::MAX;

/// A min-heap that tracks the position of each index: setting, changing and removing take time in proportion to the
/// depth.
///
/// ```
/// use juniperdock_wait_queue::Heap;
///
/// let mut heap = Heap::default();
/// for (index, key) in [(3, 30), (1, 10), (2, 20)] {
///     heap.set(index, key);
/// }
/// heap.remove(1);
/// heap.set(3, 5);
/// assert_eq!(heap.first(), Some((5, 3)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Heap {
    nodes: Vec<(u64, u32)>,
    at: Vec<u32>,
}

impl Heap {
    /// The least key and its index; among equal keys the least index.
    pub fn first(&self) -> Option<(u64, u32)> {
        self.nodes.first().copied()
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Inserts an index, or changes its key.
    pub fn set(&mut self, index: u32, key: u64) {
        if self.at.len() <= index as usize {
            self.at.resize(index as usize + 1, ABSENT);
        }
        let mut at = self.at[index as usize] as usize;
        if at == ABSENT as usize {
            at = self.nodes.len();
            self.nodes.push((key, index));
        }
        self.nodes[at] = (key, index);
        let at = self.sift_up(at);
        self.sift_down(at);
    }

    /// Removes an index; returns whether it was present.
    pub fn remove(&mut self, index: u32) -> bool {
        let Some(at) = self.at.get_mut(index as usize).filter(|at| **at != ABSENT) else { return false };
        let at = std::mem::replace(at, ABSENT) as usize;
        self.nodes.swap_remove(at);
        if at < self.nodes.len() {
            let at = self.sift_up(at);
            self.sift_down(at);
        }
        true
    }

    fn sift_up(&mut self, mut at: usize) -> usize {
        let node = self.nodes[at];
        while at > 0 {
            let parent = (at - 1) / ARITY;
            if self.nodes[parent] <= node {
                break;
            }
            self.place(at, self.nodes[parent]);
            at = parent;
        }
        self.place(at, node);
        at
    }

    fn sift_down(&mut self, mut at: usize) {
        let node = self.nodes[at];
        loop {
            let first = at * ARITY + 1;
            let children = first..(first + ARITY).min(self.nodes.len());
            let Some(least) = children.min_by_key(|&child| self.nodes[child]) else { break };
            if self.nodes[least] >= node {
                break;
            }
            self.place(at, self.nodes[least]);
            at = least;
        }
        self.place(at, node);
    }

    fn place(&mut self, at: usize, node: (u64, u32)) {
        self.nodes[at] = node;
        self.at[node.1 as usize] = at as u32;
    }
}
