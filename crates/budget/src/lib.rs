//! Budgets by purpose, in a tree: a caller reserves what it needs first, and returns it by dropping a guard.
//!
//! A budget has a cap, and a guaranteed share of its parent's amount. What one budget does not use is lent to the
//! others, up to their caps. A budget that wants a lent part of its guaranteed share is refused at once, and the
//! borrowers get nothing more until it is back; they can ask what they owe and close work of their own. A cap that is
//! lowered below the present use admits nothing new until the use has come down. Nothing here waits, and nothing is
//! taken back by force.
//!
//! ```
//! use juniperdock_budget::Tree;
//!
//! let tree = Tree::new("process", 100);
//! let clients = tree.add_budget(tree.root(), "clients", 80, 20).unwrap();
//! let results = tree.add_budget(tree.root(), "results", 90, 50).unwrap();
//! let lent = tree.reserve(clients, 70).unwrap();
//! // Its guaranteed share is 50, of which 20 are lent.
//! let shortage = tree.reserve(results, 40).unwrap_err();
//! assert_eq!((shortage.at, shortage.missing), (results, 10));
//! assert_eq!(tree.owed(clients), 10);
//! drop(lent);
//! assert!(tree.reserve(results, 40).is_ok());
//! ```

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A budget of a tree, by its position there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BudgetId(usize);

/// Why nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// The budget that is short: the requested one, or one above it.
    pub at: BudgetId,
    /// The missing amount.
    pub missing: u64,
    /// The amount is lent and will be there once others return it; otherwise a cap is in the way.
    pub lent: bool,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let why = if self.lent { "lent to others" } else { "over its cap" };
        write!(f, "{} missing, {why}", self.missing)
    }
}

impl std::error::Error for Shortage {}

/// The state of a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetStatus {
    pub name: String,
    /// Depth in the tree.
    pub depth: usize,
    pub cap: u64,
    pub guaranteed: u64,
    pub used: u64,
    pub peak_used: u64,
    /// How often it was short.
    pub refused: u64,
}

#[derive(Debug)]
struct Node {
    name: String,
    parent: Option<usize>,
    cap: u64,
    guaranteed: u64,
    used: u64,
    peak_used: u64,
    refused: u64,
    /// The part of its guaranteed share that it could not have because it was lent.
    reclaims: u64,
    /// The children that reclaim something, and how much in all.
    reclaimers: Vec<usize>,
    reclaimed: u64,
    /// The sum of the children's guaranteed shares, and how many children there are.
    guaranteed_below: u64,
    children: usize,
    closed: bool,
}

/// A tree of budgets; clones share it.
#[derive(Clone, Debug)]
pub struct Tree(Arc<Mutex<Vec<Node>>>);

impl Tree {
    /// A tree whose root holds this much.
    pub fn new(name: &str, cap: u64) -> Tree {
        Tree(Arc::new(Mutex::new(vec![Node::new(name, None, cap, 0)])))
    }

    /// The budget at the root.
    pub fn root(&self) -> BudgetId {
        BudgetId(0)
    }

    /// Locked for a few steps only. A panic elsewhere leaves the numbers consistent, as each step is complete.
    fn lock(&self) -> MutexGuard<'_, Vec<Node>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a budget under another one. The guaranteed shares under one parent may not exceed the parent's cap.
    pub fn add_budget(
        &self,
        parent: BudgetId,
        name: &str,
        cap: u64,
        guaranteed: u64,
    ) -> Result<BudgetId, String> {
        let mut nodes = self.lock();
        let cap = cap.min(nodes[parent.0].cap);
        check_guarantees(&nodes, parent.0, 0, name, cap, guaranteed)?;
        let above = &mut nodes[parent.0];
        (above.guaranteed_below, above.children) = (above.guaranteed_below + guaranteed, above.children + 1);
        nodes.push(Node::new(name, Some(parent.0), cap, guaranteed));
        Ok(BudgetId(nodes.len() - 1))
    }

    /// Changes the cap and guaranteed share of a budget. Nothing is taken away: use above the new cap comes down as
    /// reservations are returned.
    pub fn set_limits(&self, budget: BudgetId, cap: u64, guaranteed: u64) -> Result<(), String> {
        let mut nodes = self.lock();
        let Node { parent, guaranteed_below, guaranteed: before, .. } = nodes[budget.0];
        if let Some(parent) = parent {
            check_guarantees(&nodes, parent, before, &nodes[budget.0].name, cap, guaranteed)?;
        }
        if guaranteed_below > cap {
            return Err(format!(
                "{}: the guaranteed shares below it are {guaranteed_below}, over {cap}",
                nodes[budget.0].name
            ));
        }
        if let Some(parent) = parent {
            nodes[parent].guaranteed_below = nodes[parent].guaranteed_below - before + guaranteed;
        }
        (nodes[budget.0].cap, nodes[budget.0].guaranteed) = (cap, guaranteed);
        Ok(())
    }

    /// Reserves an amount of a budget and of all above it, or nothing at all.
    pub fn reserve(&self, budget: BudgetId, amount: u64) -> Result<Reservation, Shortage> {
        let mut nodes = self.lock();
        match check_room(&nodes, budget.0, amount) {
            Ok(()) => {
                charge(&mut nodes, budget.0, amount);
                drop(nodes);
                Ok(Reservation { tree: self.clone(), budget: budget.0, amount })
            }
            Err(shortage) => {
                nodes[budget.0].refused += 1;
                if shortage.lent {
                    set_reclaims(&mut nodes, shortage.at.0, shortage.missing);
                }
                Err(shortage)
            }
        }
    }

    /// What a budget has borrowed and others have reclaimed.
    pub fn owed(&self, budget: BudgetId) -> u64 {
        let nodes = self.lock();
        let node = &nodes[budget.0];
        let Some(parent) = node.parent else { return 0 };
        node.used.saturating_sub(node.guaranteed).min(nodes[parent].reclaimed)
    }

    /// The amount reserved now.
    pub fn used(&self, budget: BudgetId) -> u64 {
        self.lock()[budget.0].used
    }

    /// What is left of its cap, whatever other budgets may need.
    pub fn free(&self, budget: BudgetId) -> u64 {
        let nodes = self.lock();
        nodes[budget.0].cap.saturating_sub(nodes[budget.0].used)
    }

    /// Closes an unused budget; its guaranteed share is free for others.
    pub fn close(&self, budget: BudgetId) -> bool {
        let mut nodes = self.lock();
        let Node { parent, used, children, guaranteed, closed, .. } = nodes[budget.0];
        let Some(parent) = parent.filter(|_| used == 0 && children == 0 && !closed) else { return false };
        set_reclaims(&mut nodes, budget.0, 0);
        (nodes[parent].guaranteed_below, nodes[parent].children) =
            (nodes[parent].guaranteed_below - guaranteed, nodes[parent].children - 1);
        let node = &mut nodes[budget.0];
        (node.closed, node.guaranteed, node.cap) = (true, 0, 0);
        true
    }

    /// The state of all budgets, parents before their children.
    pub fn statuses(&self) -> Vec<BudgetStatus> {
        let nodes = self.lock();
        let depth = |mut at: usize| {
            let mut depth = 0;
            while let Some(parent) = nodes[at].parent {
                (at, depth) = (parent, depth + 1);
            }
            depth
        };
        let open = nodes.iter().enumerate().filter(|(_, node)| !node.closed);
        open.map(|(at, node)| BudgetStatus {
            name: node.name.clone(),
            depth: depth(at),
            cap: node.cap,
            guaranteed: node.guaranteed,
            used: node.used,
            peak_used: node.peak_used,
            refused: node.refused,
        })
        .collect()
    }
}

impl Node {
    fn new(name: &str, parent: Option<usize>, cap: u64, guaranteed: u64) -> Node {
        let name = name.to_owned();
        let (used, peak_used, refused, reclaims, reclaimed, guaranteed_below, children) =
            (0, 0, 0, 0, 0, 0, 0);
        let reclaimers = Vec::new();
        Node {
            name,
            parent,
            cap,
            guaranteed,
            used,
            peak_used,
            refused,
            reclaims,
            reclaimers,
            reclaimed,
            guaranteed_below,
            children,
            closed: false,
        }
    }
}

fn check_guarantees(
    nodes: &[Node],
    parent: usize,
    before: u64,
    name: &str,
    cap: u64,
    guaranteed: u64,
) -> Result<(), String> {
    if guaranteed > cap {
        return Err(format!("{name}: its guaranteed share of {guaranteed} is over its cap of {cap}"));
    }
    let above = &nodes[parent];
    let guaranteed_below = (above.guaranteed_below - before).saturating_add(guaranteed);
    if guaranteed_below > above.cap {
        return Err(format!(
            "{name}: the guaranteed shares under {} would be {guaranteed_below}, over {}",
            above.name, above.cap
        ));
    }
    Ok(())
}

/// Whether a budget and all above it have room for this much more.
fn check_room(nodes: &[Node], budget: usize, amount: u64) -> Result<(), Shortage> {
    let mut at = budget;
    loop {
        let node = &nodes[at];
        let after = node.used.saturating_add(amount);
        if after > node.cap {
            return Err(Shortage { at: BudgetId(at), missing: after - node.cap, lent: false });
        }
        let Some(parent) = node.parent else { return Ok(()) };
        let above = &nodes[parent];
        let over = above.used.saturating_add(amount).saturating_sub(above.cap);
        let own = after <= node.guaranteed;
        // Inside its guaranteed share it lacks only what is lent; beyond it, what others have reclaimed is theirs.
        if own && over > 0 {
            return Err(Shortage { at: BudgetId(at), missing: over, lent: true });
        }
        if !own && above.reclaimed > 0 {
            let free = above.cap.saturating_sub(above.used).saturating_sub(above.reclaimed);
            if amount > free {
                return Err(Shortage { at: BudgetId(parent), missing: amount - free, lent: false });
            }
        }
        at = parent;
    }
}

fn charge(nodes: &mut [Node], budget: usize, amount: u64) {
    let mut next = Some(budget);
    while let Some(at) = next {
        let node = &mut nodes[at];
        node.used += amount;
        node.peak_used = node.peak_used.max(node.used);
        next = node.parent;
        if node.reclaims > 0 {
            // It has what it reclaimed, or a part of it.
            let left = node.reclaims.saturating_sub(amount);
            set_reclaims(nodes, at, left);
        }
    }
}

/// Records how much of its guaranteed share a budget reclaims.
fn set_reclaims(nodes: &mut [Node], at: usize, reclaims: u64) {
    let before = std::mem::replace(&mut nodes[at].reclaims, reclaims);
    let Some(parent) = nodes[at].parent.filter(|_| before != reclaims) else { return };
    let above = &mut nodes[parent];
    above.reclaimed = above.reclaimed - before + reclaims;
    match (before, reclaims) {
        (0, _) => above.reclaimers.push(at),
        (_, 0) => above.reclaimers.retain(|&other| other != at),
        _ => {}
    }
}

/// A reserved amount; returned when it is dropped, also by a panic.
#[derive(Debug)]
pub struct Reservation {
    tree: Tree,
    budget: usize,
    amount: u64,
}

impl Reservation {
    /// The reserved amount.
    pub fn amount(&self) -> u64 {
        self.amount
    }

    /// Reserves more, or leaves it unchanged.
    pub fn grow(&mut self, by: u64) -> Result<(), Shortage> {
        let more = self.tree.reserve(BudgetId(self.budget), by)?;
        self.amount += by;
        std::mem::forget(more);
        Ok(())
    }

    /// Returns a part of it.
    pub fn shrink(&mut self, by: u64) {
        let by = by.min(self.amount);
        self.amount -= by;
        self.tree.refund(self.budget, by);
    }

    /// Grows or shrinks it to this amount.
    pub fn set(&mut self, amount: u64) -> Result<(), Shortage> {
        if amount > self.amount {
            return self.grow(amount - self.amount);
        }
        self.shrink(self.amount - amount);
        Ok(())
    }
}

impl Tree {
    fn refund(&self, budget: usize, amount: u64) {
        let mut nodes = self.lock();
        let mut next = Some(budget);
        while let Some(at) = next {
            nodes[at].used = nodes[at].used.saturating_sub(amount);
            next = nodes[at].parent;
        }
        // A budget whose whole guaranteed share is available again reclaims nothing more.
        let mut next = nodes[budget].parent;
        while let Some(parent) = next {
            let free = nodes[parent].cap.saturating_sub(nodes[parent].used);
            let left = |at: &usize| nodes[*at].guaranteed.saturating_sub(nodes[*at].used);
            if nodes[parent].reclaimed > 0 && free >= nodes[parent].reclaimers.iter().map(left).sum() {
                for at in nodes[parent].reclaimers.clone() {
                    set_reclaims(&mut nodes, at, 0);
                }
            }
            next = nodes[parent].parent;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.tree.refund(self.budget, self.amount);
    }
}
