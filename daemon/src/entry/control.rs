//! Control state of an entry: one system made of the budget and routing systems.
//!
//! Both run on the same control thread, which [`process`](super::process) starts.

use std::sync::Arc;

use rosemarymoor_lib::budget::{BudgetDriver, BudgetEffect, BudgetEvent, BudgetSystem};
use rosemarymoor_lib::control::System;
use rosemarymoor_lib::routing::{Router, RoutingEffect, RoutingEvent, RoutingSystem};
use rosemarymoor_lib::time::Millis;

/// Event for one of the embedded systems.
#[derive(derive_more::From)]
pub enum EntryEvent {
    /// Event for the budgets.
    Budget(BudgetEvent),
    /// Event for the routing tables.
    Routing(RoutingEvent),
}

/// Effect of one of the embedded systems.
pub enum EntryEffect {
    /// Effect of the budgets.
    Budget(BudgetEffect),
    /// Effect of the routing tables.
    Routing(RoutingEffect),
}

/// Budget and routing state of an entry.
pub struct EntrySystem {
    budgets: BudgetSystem,
    routing: RoutingSystem,
    budget_effects: Vec<BudgetEffect>,
    routing_effects: Vec<RoutingEffect>,
}

impl EntrySystem {
    /// Combines both systems into one.
    pub fn new(budgets: BudgetSystem, routing: RoutingSystem) -> EntrySystem {
        EntrySystem { budgets, routing, budget_effects: Vec::new(), routing_effects: Vec::new() }
    }

    fn collect(&mut self, effects: &mut Vec<EntryEffect>) {
        effects.extend(self.budget_effects.drain(..).map(EntryEffect::Budget));
        effects.extend(self.routing_effects.drain(..).map(EntryEffect::Routing));
    }
}

impl System for EntrySystem {
    type Event = EntryEvent;
    type Effect = EntryEffect;

    fn handle(&mut self, event: EntryEvent, now: Millis, effects: &mut Vec<EntryEffect>) {
        match event {
            EntryEvent::Budget(event) => self.budgets.handle(event, now, &mut self.budget_effects),
            EntryEvent::Routing(event) => {
                self.routing.handle(event, now, &mut self.routing_effects);
            }
        }
        self.collect(effects);
    }

    fn tick(&mut self, now: Millis, effects: &mut Vec<EntryEffect>) {
        self.budgets.tick(now, &mut self.budget_effects);
        self.routing.tick(now, &mut self.routing_effects);
        self.collect(effects);
    }
}

/// Carries out the effects of an entry's control thread.
pub struct EntryDriver {
    /// Carries out the budgets' effects.
    pub budgets: BudgetDriver,
    /// Receives each snapshot of the routing tables.
    pub router: Arc<Router>,
}

impl EntryDriver {
    /// Starts one effect; never blocks.
    pub fn run(&self, effect: EntryEffect) {
        match effect {
            EntryEffect::Budget(effect) => self.budgets.run(effect),
            EntryEffect::Routing(RoutingEffect::Publish(snapshot)) => {
                self.router.publish(snapshot);
            }
            EntryEffect::Routing(RoutingEffect::Log(line)) => log::info!("{line}"),
        }
    }
}
