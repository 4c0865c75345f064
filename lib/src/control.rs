//! Control thread: a single thread that owns a system's state and applies events to it.
//!
//! A [`System`] performs no I/O. It receives events and ticks with the current
//! time and emits effects; the driver given to [`spawn`] executes the effects and
//! sends their results back as further events.

use std::sync::Arc;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::time::{Millis, MonotonicClock};

/// Interval between calls of [`System::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// State machine that runs on a control thread.
pub trait System: Send + 'static {
    /// Input, such as a request or the result of an effect.
    type Event: Send + 'static;
    /// Output that the driver executes.
    type Effect: Send + 'static;

    /// Applies one event and appends the resulting effects.
    fn handle(&mut self, event: Self::Event, now: Millis, effects: &mut Vec<Self::Effect>);

    /// Performs periodic work, such as timeouts, and appends the resulting effects.
    fn tick(&mut self, now: Millis, effects: &mut Vec<Self::Effect>);
}

/// Callback that delivers an event to the system that handles it.
///
/// It lets a handle work the same whether its system runs alone or inside another one.
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
    /// Queues an event; drops it if the control thread has stopped.
    pub fn send(&self, event: E) {
        let _ = self.tx.send(event);
    }
}

/// Running control thread; it stops when the last sender is dropped.
pub struct ControlThread {
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Waits until the thread has stopped.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

/// Spawns a control thread that runs `system`.
///
/// `driver` is called on the control thread for each effect and must not block.
///
/// # Panics
///
/// Panics if the operating system cannot start a thread.
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
        .expect("the operating system can start a thread");
    (ControlSender { tx }, ControlThread { thread })
}
