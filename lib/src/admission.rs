//! Admission control of a target: bounded queues, reserved slots and fair shares.
//!
//! A sidecar's gate asks it which requests start, wait or are refused. A free slot
//! goes to class quick while quick uses fewer slots than are reserved for it. The
//! other slots are shared between classes by stride scheduling over their estimated
//! service time, and within a class between workspaces by weight. Each class with
//! queued requests therefore gets a share of these slots, and no accepted request
//! starves. A request that cannot finish before its deadline is refused before it
//! runs.

mod class_queue;

use derive_more::Display;

use crate::result_code::{Refusal, ResultCode};
use crate::time::Millis;
use crate::wire::Class;
use class_queue::{ClassQueue, Waiting};

/// Bounds of the retry delay sent with a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// Identifier of a request at its sidecar.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Slots of a target and bounds of its queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Slots reserved for class quick.
    pub quick_slots: u32,
    /// Maximum number of queued requests per class.
    pub max_queued: u32,
}

impl Default for AdmissionLimits {
    fn default() -> AdmissionLimits {
        AdmissionLimits { slots: 16, quick_slots: 4, max_queued: 256 }
    }
}

impl AdmissionLimits {
    /// Returns the number of slots that every class may use, which is at least one.
    fn open_slots(&self) -> u32 {
        self.slots.saturating_sub(self.quick_slots).max(1)
    }
}

/// Request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub ticket: Ticket,
    pub workspace: String,
    /// Weight of the workspace in fair sharing.
    pub weight: u32,
    pub class: Class,
    /// Time by which the request must have finished.
    pub deadline: Millis,
    /// Whether no other request may run at the same time.
    pub alone: bool,
}

/// Decision on a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to the target now.
    Start(Ticket),
    /// Refuse the request; it has left the queue.
    Refuse(Ticket, Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: Ticket,
    class: Class,
    started_at: Millis,
    alone: bool,
}

/// Queues and slots of one target.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    running: Vec<Running>,
    queues: [ClassQueue; 4],
    /// Pass (virtual time of stride scheduling) of the class that was served last.
    pass: u64,
}

impl Admission {
    /// Creates empty queues with these limits.
    pub fn new(limits: AdmissionLimits) -> Admission {
        let queues = [Class::Quick, Class::Long, Class::Check, Class::Action].map(ClassQueue::new);
        Admission { limits, running: Vec::new(), queues, pass: 0 }
    }

    /// Changes the limits; running requests are not interrupted.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(ClassQueue::len).sum()
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the queue is full (`QueueFull`) or the request is not expected to
    /// finish before its deadline (`DeadlineTooShort`).
    pub fn offer(&mut self, arrival: Arrival, now: Millis) -> Result<(), Refusal> {
        let class = arrival.class;
        let wait_ms = self.estimated_wait_ms(&arrival);
        let pass = self.pass;
        let must_wait = self.free_slots(class) == 0 || self.queue(class).len() > 0;
        let queue = &mut self.queues[class as usize];
        if must_wait
            && !queue.has_capacity(&arrival.workspace, arrival.weight, self.limits.max_queued)
        {
            let detail = format!("the queue of class {class} is full");
            let refusal = Refusal::new(ResultCode::QueueFull, detail);
            return Err(refusal.retry_after(wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)));
        }
        let finish = now.plus(wait_ms).plus(queue.service_ms());
        if finish > arrival.deadline {
            return Err(deadline_too_short(wait_ms));
        }
        queue.push(arrival, pass);
        Ok(())
    }

    /// Removes a request from its queue; returns false if it was not queued.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.queues.iter_mut().any(|queue| queue.withdraw(ticket))
    }

    /// Requires a queued request to run alone; returns false if it is no longer queued.
    pub fn mark_alone(&mut self, ticket: Ticket) -> bool {
        self.queues.iter_mut().any(|queue| queue.mark_alone(ticket))
    }

    /// Refuses all queued requests.
    pub fn refuse_waiting(&mut self, refusal: &Refusal, decisions: &mut Vec<Decision>) {
        for queue in &mut self.queues {
            for ticket in queue.drain() {
                decisions.push(Decision::Refuse(ticket, refusal.clone()));
            }
        }
    }

    /// Frees the slot of a request; its run time counts for the class's service time if it was
    /// `answered`.
    pub fn finish(&mut self, ticket: Ticket, answered: bool, now: Millis) {
        let Some(at) = self.running.iter().position(|running| running.ticket == ticket) else {
            return;
        };
        let running = self.running.swap_remove(at);
        if answered {
            self.queues[running.class as usize].observe(now.since(running.started_at));
        }
    }

    /// Starts queued requests on the free slots and refuses those that can no longer finish
    /// before their deadline.
    pub fn schedule(&mut self, now: Millis, decisions: &mut Vec<Decision>) {
        self.schedule_up_to(usize::MAX, now, decisions);
    }

    /// Does as [`Admission::schedule`] with a limited number of starts; returns their number.
    pub fn schedule_up_to(
        &mut self,
        max_starts: usize,
        now: Millis,
        decisions: &mut Vec<Decision>,
    ) -> usize {
        for queue in &mut self.queues {
            for ticket in queue.take_expired(now) {
                decisions.push(Decision::Refuse(ticket, deadline_too_short(0)));
            }
        }
        let mut starts = 0;
        while starts < max_starts
            && let Some(waiting) = self.next()
        {
            let (ticket, class, alone) = (waiting.ticket, waiting.class, waiting.alone);
            self.running.push(Running { ticket, class, started_at: now, alone });
            decisions.push(Decision::Start(ticket));
            starts += 1;
        }
        starts
    }

    fn next(&mut self) -> Option<Waiting> {
        if self.running.iter().any(|running| running.alone) {
            return None;
        }
        let class = self.next_class()?;
        let queue = &mut self.queues[class as usize];
        // A request that must run alone starts when all others have finished.
        if queue.head()?.alone && !self.running.is_empty() {
            return None;
        }
        let reserved =
            class == Class::Quick && quick_running(&self.running) < self.limits.quick_slots;
        if !reserved {
            self.pass = self.pass.max(queue.pass());
            queue.advance(self.pass);
        }
        queue.pop()
    }

    fn next_class(&self) -> Option<Class> {
        let quick = self.queue(Class::Quick);
        let reserved = quick_running(&self.running) < self.limits.quick_slots;
        if reserved && quick.len() > 0 && self.free_slots(Class::Quick) > 0 {
            return Some(Class::Quick);
        }
        let ready = self
            .queues
            .iter()
            .filter(|queue| queue.len() > 0 && self.free_slots(queue.class()) > 0);
        ready.min_by_key(|queue| (queue.pass(), queue.class())).map(ClassQueue::class)
    }

    /// Returns the number of slots that a class could use now.
    fn free_slots(&self, class: Class) -> u32 {
        let running = self.running.len() as u32;
        let free = self.limits.slots.max(1).saturating_sub(running);
        if class == Class::Quick {
            return free;
        }
        let others = running - quick_running(&self.running);
        free.min(self.limits.open_slots().saturating_sub(others))
    }

    /// Estimates the time in milliseconds until a slot is free for an arrival.
    fn estimated_wait_ms(&self, arrival: &Arrival) -> u64 {
        let queue = self.queue(arrival.class);
        let slots = match arrival.class {
            Class::Quick => self.limits.slots.max(1),
            Class::Long | Class::Check | Class::Action => self.limits.open_slots(),
        };
        let busy = u64::from(self.free_slots(arrival.class) == 0);
        let ahead = queue.ahead_of(&arrival.workspace, arrival.weight) + busy;
        ahead * queue.service_ms() / u64::from(slots)
    }

    fn queue(&self, class: Class) -> &ClassQueue {
        &self.queues[class as usize]
    }
}

fn quick_running(running: &[Running]) -> u32 {
    running.iter().filter(|running| running.class == Class::Quick).count() as u32
}

fn deadline_too_short(wait_ms: u64) -> Refusal {
    let detail = "the target cannot finish the request before its deadline";
    let retry_ms = wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    Refusal::new(ResultCode::DeadlineTooShort, detail).retry_after(retry_ms)
}
