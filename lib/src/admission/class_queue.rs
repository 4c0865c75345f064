//! Queue of one class, shared between workspaces by weight with stride scheduling.
//!
//! Each workspace has a pass, its virtual time: the workspace with the lowest pass is
//! served next, and its pass advances by its stride, which is inverse to its weight.

use std::collections::VecDeque;

use super::{Arrival, Ticket};
use crate::time::Millis;
use crate::wire::Class;

/// Stride of weight 1: per request for a workspace, per millisecond of service time for a class.
const STRIDE: u64 = 1 << 10;
/// Inverse weight of the newest sample in the service time, an exponential moving average.
const SAMPLE_DIVISOR: u64 = 8;
/// Inverse of the fraction of the service time that must remain before a deadline.
const MIN_REMAINING_DIVISOR: u64 = 2;

/// Queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub ticket: Ticket,
    pub class: Class,
    pub alone: bool,
    deadline: Millis,
}

/// Queued requests of one workspace, with its share.
#[derive(Debug)]
struct WorkspaceQueue {
    workspace: String,
    weight: u64,
    pass: u64,
    waiting: VecDeque<Waiting>,
}

/// Queue of one class.
#[derive(Debug)]
pub(super) struct ClassQueue {
    class: Class,
    /// Pass of the class among all classes.
    pass: u64,
    /// Typical run time of a request in milliseconds; `None` until one has finished.
    service_ms: Option<u64>,
    /// Sorted by workspace.
    workspaces: Vec<WorkspaceQueue>,
    /// Pass of the workspace that was served last.
    workspace_pass: u64,
    /// Number of queued requests of all workspaces.
    len: usize,
}

impl ClassQueue {
    /// Creates an empty queue.
    pub fn new(class: Class) -> ClassQueue {
        ClassQueue {
            class,
            pass: 0,
            service_ms: None,
            workspaces: Vec::new(),
            workspace_pass: 0,
            len: 0,
        }
    }

    pub fn class(&self) -> Class {
        self.class
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the pass of the class among all classes.
    pub fn pass(&self) -> u64 {
        self.pass
    }

    /// Returns the typical run time of a request in milliseconds; zero while unknown.
    pub fn service_ms(&self) -> u64 {
        self.service_ms.unwrap_or(0)
    }

    /// Updates the service time by the run time of a finished request.
    pub fn observe(&mut self, service_ms: u64) {
        let old = self.service_ms.unwrap_or(service_ms);
        self.service_ms = Some((old * (SAMPLE_DIVISOR - 1) + service_ms) / SAMPLE_DIVISOR);
    }

    /// Returns whether a workspace may queue a request, with at most `bound` in the class.
    ///
    /// A workspace may use at most half of the queue, and less while other workspaces have
    /// queued requests.
    pub fn has_capacity(&self, workspace: &str, weight: u32, bound: u32) -> bool {
        if self.len >= bound as usize {
            return false;
        }
        let weight = u64::from(weight.max(1));
        let others: u64 = self
            .workspaces
            .iter()
            .filter(|queue| queue.workspace != workspace && !queue.waiting.is_empty())
            .map(|queue| queue.weight)
            .sum();
        let share = u64::from(bound) * weight / (weight + others).max(2 * weight);
        (self.workspace_len(workspace) as u64) < share.max(1)
    }

    /// Estimates the number of queued requests that are served before a new request of this
    /// workspace.
    pub fn ahead_of(&self, workspace: &str, weight: u32) -> u64 {
        let own = self.workspace_len(workspace) as u64;
        let weight = u64::from(weight.max(1));
        let others = self.workspaces.iter().filter(|queue| queue.workspace != workspace);
        let share = |queue: &WorkspaceQueue| ((own + 1) * queue.weight).div_ceil(weight);
        own + others.map(|queue| (queue.waiting.len() as u64).min(share(queue))).sum::<u64>()
    }

    /// Queues a request; the pass of an idle class advances to at least `pass`.
    pub fn push(&mut self, arrival: Arrival, pass: u64) {
        if self.len == 0 {
            self.pass = self.pass.max(pass);
        }
        let min_pass = self.workspace_pass;
        let queue = self.workspace_mut(&arrival.workspace);
        queue.weight = u64::from(arrival.weight.max(1));
        if queue.waiting.is_empty() {
            queue.pass = queue.pass.max(min_pass);
        }
        let Arrival { ticket, class, alone, deadline, .. } = arrival;
        queue.waiting.push_back(Waiting { ticket, class, alone, deadline });
        self.len += 1;
    }

    /// Returns the request that is served next.
    pub fn head(&self) -> Option<Waiting> {
        self.workspaces[self.next_workspace()?].waiting.front().copied()
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let at = self.next_workspace()?;
        let queue = &mut self.workspaces[at];
        let waiting = queue.waiting.pop_front()?;
        self.workspace_pass = self.workspace_pass.max(queue.pass);
        queue.pass = self.workspace_pass + STRIDE / queue.weight.min(STRIDE);
        self.len -= 1;
        self.drop_idle_workspaces();
        Some(waiting)
    }

    /// Sets the pass of the class to `from` plus the cost of one request.
    pub fn advance(&mut self, from: u64) {
        self.pass = from + STRIDE * self.service_ms().max(1) / class_weight(self.class);
    }

    /// Removes a request; returns false if it was not queued.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let before = self.len;
        self.retain(|waiting| waiting.ticket != ticket);
        self.len < before
    }

    /// Requires a request to run alone; returns false if it was not queued.
    pub fn mark_alone(&mut self, ticket: Ticket) -> bool {
        let mut waiting = self.workspaces.iter_mut().flat_map(|queue| &mut queue.waiting);
        let found = waiting.find(|waiting| waiting.ticket == ticket);
        found.is_some_and(|waiting| {
            waiting.alone = true;
            true
        })
    }

    /// Removes and returns the requests whose deadline is too near to finish in time.
    pub fn take_expired(&mut self, now: Millis) -> Vec<Ticket> {
        let needed = self.service_ms() / MIN_REMAINING_DIVISOR;
        let is_expired = |waiting: &Waiting| now.plus(needed) >= waiting.deadline;
        let waiting = self.workspaces.iter().flat_map(|queue| &queue.waiting);
        let expired: Vec<Ticket> =
            waiting.filter(|waiting| is_expired(waiting)).map(|waiting| waiting.ticket).collect();
        if !expired.is_empty() {
            self.retain(|waiting| !is_expired(waiting));
        }
        expired
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<Ticket> {
        let waiting = self.workspaces.iter().flat_map(|queue| &queue.waiting);
        let tickets = waiting.map(|waiting| waiting.ticket).collect();
        self.retain(|_| false);
        tickets
    }

    fn retain(&mut self, keep: impl Fn(&Waiting) -> bool) {
        for queue in &mut self.workspaces {
            queue.waiting.retain(&keep);
        }
        self.len = self.workspaces.iter().map(|queue| queue.waiting.len()).sum();
        self.drop_idle_workspaces();
    }

    /// Drops workspaces without queued requests whose pass is not ahead of the others.
    fn drop_idle_workspaces(&mut self) {
        let min_pass = self.workspace_pass;
        self.workspaces.retain(|queue| !queue.waiting.is_empty() || queue.pass > min_pass);
    }

    fn next_workspace(&self) -> Option<usize> {
        let waiting =
            self.workspaces.iter().enumerate().filter(|(_, queue)| !queue.waiting.is_empty());
        waiting.min_by_key(|(_, queue)| queue.pass).map(|(at, _)| at)
    }

    fn workspace_len(&self, workspace: &str) -> usize {
        match self.workspace_position(workspace) {
            Ok(at) => self.workspaces[at].waiting.len(),
            Err(_) => 0,
        }
    }

    fn workspace_mut(&mut self, workspace: &str) -> &mut WorkspaceQueue {
        let at = match self.workspace_position(workspace) {
            Ok(at) => at,
            Err(at) => {
                let workspace = workspace.to_owned();
                let queue =
                    WorkspaceQueue { workspace, weight: 1, pass: 0, waiting: VecDeque::new() };
                self.workspaces.insert(at, queue);
                at
            }
        };
        &mut self.workspaces[at]
    }

    fn workspace_position(&self, workspace: &str) -> Result<usize, usize> {
        self.workspaces.binary_search_by(|queue| queue.workspace.as_str().cmp(workspace))
    }
}

/// Returns the relative share of a class in the slots that are open to every class.
fn class_weight(class: Class) -> u64 {
    match class {
        Class::Quick | Class::Action => 2,
        Class::Long | Class::Check => 1,
    }
}
