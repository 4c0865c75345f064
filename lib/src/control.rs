//! The control thread: one thread owns all tables and decides.
//!
//! A [`System`] is pure. It receives events and ticks with the current time and
//! answers with effects; the driver given to [`spawn`] carries the effects out
//! and feeds what comes of them back as further events.

use std::sync::Arc;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::time::{Millis, MonotonicClock};

/// Interval between two ticks of a control thread.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Tables and the decisions over them.
pub trait System: Send + 'static {
    type Event: Send + 'static;
    type Effect: Send + 'static;

    /// Applies one event.
    fn handle(&mut self, event: Self::Event, now: Millis, effects: &mut Vec<Self::Effect>);

    /// Runs the periodic systems.
    fn tick(&mut self, now: Millis, effects: &mut Vec<Self::Effect>);
}

/// Where a handle sends its system's events, whatever system embeds that one.
pub type EventSink<E> = Arc<dyn Fn(E) + Send + Sync>;

/// Sends events to a control thread.
pub struct ControlSender<E> {
    tx: mpsc::Sender<E>,
}

impl<E> Clone for ControlSender<E> {
    fn clone(&self) -> ControlSender<E> {
        ControlSender { tx: self.tx.clone() }
    }
}

impl<E> ControlSender<E> {
    /// Queues an event; lost if the control thread has stopped.
    pub fn send(&self, event: E) {
        let _ = self.tx.send(event);
    }
}

/// Running control thread; it stops once every sender is gone.
pub struct ControlThread {
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Waits until the thread has stopped.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

/// Spawns a control thread over `system`.
///
/// `driver` runs on the control thread for each effect and must not block.
pub fn spawn<S, D>(
    clock: MonotonicClock,
    mut system: S,
    mut driver: D,
) -> (ControlSender<S::Event>, ControlThread)
where
    S: System,
    D: FnMut(S::Effect) + Send + 'static,
{
    let (tx, rx) = mpsc::channel();
    let run = move || {
        let mut effects = Vec::new();
        let mut next_tick = clock.now();
        loop {
            let wait = Duration::from_millis(next_tick.since(clock.now()));
            match rx.recv_timeout(wait) {
                Ok(event) => system.handle(event, clock.now(), &mut effects),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if clock.now() >= next_tick {
                system.tick(clock.now(), &mut effects);
                next_tick = clock.now().plus(TICK_INTERVAL.as_millis() as u64);
            }
            effects.drain(..).for_each(&mut driver);
        }
    };
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(run)
        .expect("the system can start a thread");
    (ControlSender { tx }, ControlThread { thread })
}
