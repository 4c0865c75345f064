//! Waiting requests of one class, shared between workspaces by weight.

use std::collections::VecDeque;

use super::{Arrival, Ticket};
use crate::time::Millis;
use crate::wire::Class;

/// Scale of stride positions.
const STRIDE: u64 = 1 << 10;
/// Weight of the newest sample in the service time, as a divisor.
const SAMPLE_DIVISOR: u64 = 8;
/// Part of the service time that must be left before a deadline, as a divisor.
const LEFT_DIVISOR: u64 = 2;

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub ticket: Ticket,
    pub class: Class,
    pub alone: bool,
    deadline: Millis,
}

/// Waiting requests of one workspace.
#[derive(Debug)]
struct Lane {
    workspace: String,
    weight: u64,
    pass: u64,
    waiting: VecDeque<Waiting>,
}

#[derive(Debug)]
pub(super) struct ClassQueue {
    class: Class,
    pass: u64,
    service_ms: Option<u64>,
    /// Sorted by workspace.
    lanes: Vec<Lane>,
    /// Stride position of the workspace that was served last.
    lane_pass: u64,
    len: usize,
}

impl ClassQueue {
    pub fn new(class: Class) -> ClassQueue {
        ClassQueue { class, pass: 0, service_ms: None, lanes: Vec::new(), lane_pass: 0, len: 0 }
    }

    pub fn class(&self) -> Class {
        self.class
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn pass(&self) -> u64 {
        self.pass
    }

    /// Typical time that a request of this class runs; zero while unknown.
    pub fn service_ms(&self) -> u64 {
        self.service_ms.unwrap_or(0)
    }

    /// Takes the time of a finished request into the estimate.
    pub fn observe(&mut self, ms: u64) {
        let old = self.service_ms.unwrap_or(ms);
        self.service_ms = Some((old * (SAMPLE_DIVISOR - 1) + ms) / SAMPLE_DIVISOR);
    }

    /// Whether a workspace may add a request under the bound of the class.
    ///
    /// Half of the queue is the most for one workspace, and less if others wait.
    pub fn has_capacity(&self, workspace: &str, weight: u32, bound: u32) -> bool {
        if self.len >= bound as usize {
            return false;
        }
        let weight = u64::from(weight.max(1));
        let others: u64 = self
            .lanes
            .iter()
            .filter(|lane| lane.workspace != workspace && !lane.waiting.is_empty())
            .map(|lane| lane.weight)
            .sum();
        let share = u64::from(bound) * weight / (weight + others).max(2 * weight);
        (self.lane_len(workspace) as u64) < share.max(1)
    }

    /// Waiting requests that a new one of this workspace would come after.
    pub fn ahead_of(&self, workspace: &str, weight: u32) -> u64 {
        let own = self.lane_len(workspace) as u64;
        let weight = u64::from(weight.max(1));
        let others = self.lanes.iter().filter(|lane| lane.workspace != workspace);
        let share = |lane: &Lane| ((own + 1) * lane.weight).div_ceil(weight);
        own + others.map(|lane| (lane.waiting.len() as u64).min(share(lane))).sum::<u64>()
    }

    /// Adds a request; an idle class goes on at stride position `pass`.
    pub fn push(&mut self, arrival: Arrival, pass: u64) {
        if self.len == 0 {
            self.pass = self.pass.max(pass);
        }
        let floor = self.lane_pass;
        let lane = self.lane_mut(&arrival.workspace);
        lane.weight = u64::from(arrival.weight.max(1));
        if lane.waiting.is_empty() {
            lane.pass = lane.pass.max(floor);
        }
        let Arrival { ticket, class, alone, deadline, .. } = arrival;
        lane.waiting.push_back(Waiting { ticket, class, alone, deadline });
        self.len += 1;
    }

    /// Request that is served next.
    pub fn head(&self) -> Option<Waiting> {
        self.lanes[self.next_lane()?].waiting.front().copied()
    }

    /// Takes the request that is served next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let at = self.next_lane()?;
        let lane = &mut self.lanes[at];
        let waiting = lane.waiting.pop_front()?;
        self.lane_pass = self.lane_pass.max(lane.pass);
        lane.pass = self.lane_pass + STRIDE / lane.weight.min(STRIDE);
        self.len -= 1;
        self.drop_idle_lanes();
        Some(waiting)
    }

    /// Moves the class on by the cost of one request from stride position `from`.
    pub fn advance(&mut self, from: u64) {
        self.pass = from + STRIDE * self.service_ms().max(1) / class_weight(self.class);
    }

    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let before = self.len;
        self.retain(|waiting| waiting.ticket != ticket);
        self.len < before
    }

    pub fn mark_alone(&mut self, ticket: Ticket) -> bool {
        let mut waiting = self.lanes.iter_mut().flat_map(|lane| &mut lane.waiting);
        let found = waiting.find(|waiting| waiting.ticket == ticket);
        found.is_some_and(|waiting| {
            waiting.alone = true;
            true
        })
    }

    /// Removes the requests whose deadline is too near, and answers them.
    pub fn expired(&mut self, now: Millis) -> Vec<Ticket> {
        let needed = self.service_ms() / LEFT_DIVISOR;
        let is_expired = |waiting: &Waiting| now.plus(needed) >= waiting.deadline;
        let waiting = self.lanes.iter().flat_map(|lane| &lane.waiting);
        let expired: Vec<Ticket> =
            waiting.filter(|waiting| is_expired(waiting)).map(|waiting| waiting.ticket).collect();
        if !expired.is_empty() {
            self.retain(|waiting| !is_expired(waiting));
        }
        expired
    }

    /// Removes every request and answers them.
    pub fn drain(&mut self) -> Vec<Ticket> {
        let waiting = self.lanes.iter().flat_map(|lane| &lane.waiting);
        let tickets = waiting.map(|waiting| waiting.ticket).collect();
        self.retain(|_| false);
        tickets
    }

    fn retain(&mut self, keep: impl Fn(&Waiting) -> bool) {
        for lane in &mut self.lanes {
            lane.waiting.retain(&keep);
        }
        self.len = self.lanes.iter().map(|lane| lane.waiting.len()).sum();
        self.drop_idle_lanes();
    }

    /// Forgets workspaces whose past service no longer counts against them.
    fn drop_idle_lanes(&mut self) {
        let floor = self.lane_pass;
        self.lanes.retain(|lane| !lane.waiting.is_empty() || lane.pass > floor);
    }

    fn next_lane(&self) -> Option<usize> {
        let waiting = self.lanes.iter().enumerate().filter(|(_, lane)| !lane.waiting.is_empty());
        waiting.min_by_key(|(_, lane)| lane.pass).map(|(at, _)| at)
    }

    fn lane_len(&self, workspace: &str) -> usize {
        match self.lane_position(workspace) {
            Ok(at) => self.lanes[at].waiting.len(),
            Err(_) => 0,
        }
    }

    fn lane_mut(&mut self, workspace: &str) -> &mut Lane {
        let at = match self.lane_position(workspace) {
            Ok(at) => at,
            Err(at) => {
                let workspace = workspace.to_owned();
                let lane = Lane { workspace, weight: 1, pass: 0, waiting: VecDeque::new() };
                self.lanes.insert(at, lane);
                at
            }
        };
        &mut self.lanes[at]
    }

    fn lane_position(&self, workspace: &str) -> Result<usize, usize> {
        self.lanes.binary_search_by(|lane| lane.workspace.as_str().cmp(workspace))
    }
}

/// Share of a class in the open slots.
fn class_weight(class: Class) -> u64 {
    match class {
        Class::Quick | Class::Action => 2,
        Class::Long | Class::Check => 1,
    }
}
