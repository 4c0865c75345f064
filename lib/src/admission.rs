//! Admission at a target: bounded queues, reserved slots, fair shares.
//!
//! A slot that is free goes to class quick as long as quick holds fewer slots
//! than are reserved for it; the open slots are shared between the classes by
//! stride scheduling over their estimated service time, and within a class
//! between workspaces by weight. Each waiting class therefore keeps a share of
//! the open slots, and no accepted request starves. What cannot finish before
//! its deadline is refused at once, before it has run.

mod class_queue;

use derive_more::Display;

use crate::result_code::{Refusal, ResultCode};
use crate::time::Millis;
use crate::wire::Class;
use class_queue::{ClassQueue, Waiting};

const MIN_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 10_000;

/// Key of a request at its sidecar.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Size of a target and bounds of its queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Slots that only class quick may take.
    pub quick_slots: u32,
    /// Requests that wait at the same time, for each class.
    pub queue: u32,
}

impl Default for AdmissionLimits {
    fn default() -> AdmissionLimits {
        AdmissionLimits { slots: 16, quick_slots: 4, queue: 256 }
    }
}

impl AdmissionLimits {
    /// Slots that every class may take; at least one.
    fn open_slots(&self) -> u32 {
        self.slots.saturating_sub(self.quick_slots).max(1)
    }
}

/// Request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub ticket: Ticket,
    pub workspace: String,
    /// Relative share of the workspace.
    pub weight: u32,
    pub class: Class,
    pub deadline: Millis,
    /// Whether it must run with no other request beside it.
    pub alone: bool,
}

/// What becomes of a request that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    Start(Ticket),
    Refuse(Ticket, Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: Ticket,
    class: Class,
    started: Millis,
    alone: bool,
}

/// Queues and slots of one target.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    running: Vec<Running>,
    queues: [ClassQueue; 4],
    /// Stride position of the class that was served last.
    pass: u64,
}

impl Admission {
    /// Empty queues under these limits.
    pub fn new(limits: AdmissionLimits) -> Admission {
        let queues = [Class::Quick, Class::Long, Class::Check, Class::Action].map(ClassQueue::new);
        Admission { limits, running: Vec::new(), queues, pass: 0 }
    }

    /// Changes the limits; what runs goes on.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(ClassQueue::len).sum()
    }

    /// Takes a request into its queue or refuses it at once.
    pub fn offer(&mut self, arrival: Arrival, now: Millis) -> Result<(), Refusal> {
        let class = arrival.class;
        let wait_ms = self.estimated_wait(&arrival);
        let pass = self.pass;
        let must_wait = self.free_slots(class) == 0 || self.queue(class).len() > 0;
        let queue = &mut self.queues[class as usize];
        if must_wait && !queue.has_capacity(&arrival.workspace, arrival.weight, self.limits.queue) {
            let detail = format!("the queue of class {class} is full");
            let refusal = Refusal::new(ResultCode::QueueFull, detail);
            return Err(refusal.retry_after(wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS)));
        }
        let finish = now.plus(wait_ms).plus(queue.service_ms());
        if finish > arrival.deadline {
            return Err(too_late(wait_ms));
        }
        queue.push(arrival, pass);
        Ok(())
    }

    /// Takes a waiting request out of its queue; tells whether it waited.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.queues.iter_mut().any(|queue| queue.withdraw(ticket))
    }

    /// Lets a waiting request run alone; false if it does not wait any more.
    pub fn mark_alone(&mut self, ticket: Ticket) -> bool {
        self.queues.iter_mut().any(|queue| queue.mark_alone(ticket))
    }

    /// Refuses everything that waits.
    pub fn refuse_waiting(&mut self, refusal: &Refusal, decisions: &mut Vec<Decision>) {
        for queue in &mut self.queues {
            for ticket in queue.drain() {
                decisions.push(Decision::Refuse(ticket, refusal.clone()));
            }
        }
    }

    /// Frees the slot of a request; `answered` if its time is typical of its class.
    pub fn finish(&mut self, ticket: Ticket, answered: bool, now: Millis) {
        let Some(at) = self.running.iter().position(|running| running.ticket == ticket) else {
            return;
        };
        let running = self.running.swap_remove(at);
        if answered {
            self.queues[running.class as usize].observe(now.since(running.started));
        }
    }

    /// Fills the free slots and refuses what can no longer finish in time.
    pub fn schedule(&mut self, now: Millis, decisions: &mut Vec<Decision>) {
        for queue in &mut self.queues {
            for ticket in queue.expired(now) {
                decisions.push(Decision::Refuse(ticket, too_late(0)));
            }
        }
        while let Some(waiting) = self.next() {
            let (ticket, class, alone) = (waiting.ticket, waiting.class, waiting.alone);
            self.running.push(Running { ticket, class, started: now, alone });
            decisions.push(Decision::Start(ticket));
        }
    }

    fn next(&mut self) -> Option<Waiting> {
        if self.running.iter().any(|running| running.alone) {
            return None;
        }
        let class = self.next_class()?;
        let queue = &mut self.queues[class as usize];
        // The target runs empty before a request that must run alone.
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

    /// Slots that a class could take now.
    fn free_slots(&self, class: Class) -> u32 {
        let running = self.running.len() as u32;
        let free = self.limits.slots.max(1).saturating_sub(running);
        if class == Class::Quick {
            return free;
        }
        let others = running - quick_running(&self.running);
        free.min(self.limits.open_slots().saturating_sub(others))
    }

    /// Time until a slot is likely to be free for an arrival.
    fn estimated_wait(&self, arrival: &Arrival) -> u64 {
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

fn too_late(wait_ms: u64) -> Refusal {
    let detail = "the target cannot finish the request before its deadline";
    let retry_ms = wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
    Refusal::new(ResultCode::DeadlineTooShort, detail).retry_after(retry_ms)
}
