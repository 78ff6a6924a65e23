//! Teams by rank, the least first: a heap of four children a node that knows where each team stands, so that a
//! rank can change and a team can leave from the middle at the cost of a logarithm.

/// A rank: the lesser goes first; the team's number decides where two are alike.
pub type Rank = (u8, u64);

#[derive(Default)]
pub struct Ranks {
    heap: Vec<(Rank, u32)>,
    /// By team: its place in the heap, or `OUT`.
    places: Vec<u32>,
}

const OUT: u32 = u32::MAX;
const CHILDREN: usize = 4;

impl Ranks {
    pub fn first(&self) -> Option<usize> {
        self.heap.first().map(|&(_, team)| team as usize)
    }

    pub fn rank(&self, team: usize) -> Option<Rank> {
        let place = self.places.get(team).filter(|&&place| place != OUT)?;
        Some(self.heap[*place as usize].0)
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Puts a team in, or gives it another rank.
    pub fn set(&mut self, team: usize, rank: Rank) {
        if self.places.len() <= team {
            self.places.resize(team + 1, OUT);
        }
        let at = match self.places[team] {
            OUT => {
                self.heap.push((rank, team as u32));
                self.heap.len() - 1
            }
            place => {
                self.heap[place as usize].0 = rank;
                place as usize
            }
        };
        self.places[team] = at as u32;
        let at = self.rise(at);
        self.sink(at);
    }

    pub fn remove(&mut self, team: usize) {
        let Some(&place) = self.places.get(team).filter(|&&place| place != OUT) else {
            return;
        };
        self.places[team] = OUT;
        let at = place as usize;
        self.heap.swap_remove(at);
        if let Some(&(_, moved)) = self.heap.get(at) {
            self.places[moved as usize] = place;
            let at = self.rise(at);
            self.sink(at);
        }
    }

    fn rise(&mut self, mut at: usize) -> usize {
        while at > 0 {
            let parent = (at - 1) / CHILDREN;
            if self.heap[parent] <= self.heap[at] {
                break;
            }
            self.swap(parent, at);
            at = parent;
        }
        at
    }

    fn sink(&mut self, mut at: usize) {
        loop {
            let children = at * CHILDREN + 1..(at * CHILDREN + 1 + CHILDREN).min(self.heap.len());
            let Some(least) = children.min_by_key(|&c| self.heap[c]) else {
                return;
            };
            if self.heap[at] <= self.heap[least] {
                return;
            }
            self.swap(at, least);
            at = least;
        }
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.places[self.heap[a].1 as usize] = a as u32;
        self.places[self.heap[b].1 as usize] = b as u32;
    }
}
