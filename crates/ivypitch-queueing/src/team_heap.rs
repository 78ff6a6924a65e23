//! Priority queue of teams by rank, lowest first: an indexed 4-ary heap. It records the position
//! of each team, so that changing a rank and removing a team take logarithmic time.

/// Rank of a team: its class, then its order in the class; the lower goes first. Of two teams with
/// equal ranks, the one with the lower index does.
pub type Rank = (u8, u64);

/// The heap of teams, by team index.
#[derive(Default)]
pub struct TeamHeap {
    heap: Vec<(Rank, u32)>,
    /// Position of each team in the heap, or `ABSENT`.
    positions: Vec<u32>,
}

const ABSENT: u32 = u32::MAX;
const CHILDREN_PER_NODE: usize = 4;

impl TeamHeap {
    /// The team with the lowest rank.
    pub fn first(&self) -> Option<usize> {
        self.heap.first().map(|&(_, team)| team as usize)
    }

    /// Rank of a team, `None` if it is not in the heap.
    pub fn rank(&self, team: usize) -> Option<Rank> {
        let position = self
            .positions
            .get(team)
            .filter(|&&position| position != ABSENT)?;
        Some(self.heap[*position as usize].0)
    }

    /// Number of teams in the heap.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether the heap has no teams.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Inserts a team or changes its rank.
    pub fn set(&mut self, team: usize, rank: Rank) {
        if self.positions.len() <= team {
            self.positions.resize(team + 1, ABSENT);
        }
        let index = match self.positions[team] {
            ABSENT => {
                self.heap.push((rank, team as u32));
                self.heap.len() - 1
            }
            position => {
                self.heap[position as usize].0 = rank;
                position as usize
            }
        };
        self.positions[team] = index as u32;
        let index = self.sift_up(index);
        self.sift_down(index);
    }

    /// Removes a team; does nothing if it is not in the heap.
    pub fn remove(&mut self, team: usize) {
        let Some(&position) = self
            .positions
            .get(team)
            .filter(|&&position| position != ABSENT)
        else {
            return;
        };
        self.positions[team] = ABSENT;
        let index = position as usize;
        self.heap.swap_remove(index);
        if let Some(&(_, moved)) = self.heap.get(index) {
            self.positions[moved as usize] = position;
            let index = self.sift_up(index);
            self.sift_down(index);
        }
    }

    fn sift_up(&mut self, mut index: usize) -> usize {
        while index > 0 {
            let parent = (index - 1) / CHILDREN_PER_NODE;
            if self.heap[parent] <= self.heap[index] {
                break;
            }
            self.swap(parent, index);
            index = parent;
        }
        index
    }

    fn sift_down(&mut self, mut index: usize) {
        loop {
            let children = index * CHILDREN_PER_NODE + 1
                ..(index * CHILDREN_PER_NODE + 1 + CHILDREN_PER_NODE).min(self.heap.len());
            let Some(min_child) = children.min_by_key(|&child| self.heap[child]) else {
                return;
            };
            if self.heap[index] <= self.heap[min_child] {
                return;
            }
            self.swap(index, min_child);
            index = min_child;
        }
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.positions[self.heap[a].1 as usize] = a as u32;
        self.positions[self.heap[b].1 as usize] = b as u32;
    }
}
