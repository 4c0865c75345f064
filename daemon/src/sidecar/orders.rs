//! Orders to the target, in the order of their fencing numbers.

use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::fencing::{FENCING_KEY, Fencing};
use rosemarymoor_lib::kv_store::{KvStore, Outcome};
use rosemarymoor_lib::target_client::TargetClient;
use rosemarymoor_lib::wire::{OrderReply, OrderRequest};
use tokio::sync::Mutex;

const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The only giver of orders to one target.
pub struct Orders {
    target_name: String,
    target: Arc<dyn TargetClient>,
    kv: Arc<dyn KvStore>,
    /// Absent until the store has told the highest number ever taken.
    fencing: Mutex<Option<Fencing>>,
}

impl Orders {
    /// Opens the giver of orders to `target`.
    pub fn open(
        target_name: String,
        target: Arc<dyn TargetClient>,
        kv: Arc<dyn KvStore>,
    ) -> Orders {
        Orders { target_name, target, kv, fencing: Mutex::const_new(None) }
    }

    /// Gives an order unless a higher fencing number is known.
    ///
    /// The lock is held until the target has answered, so that an old order
    /// that was admitted first cannot overtake a newer one.
    pub async fn give(&self, req: OrderRequest) -> OrderReply {
        if req.target != self.target_name {
            return OrderReply::WrongTarget;
        }
        let mut known = self.fencing.lock().await;
        if known.is_none() {
            *known = self.stored().await;
        }
        let Some(fencing) = known.as_mut() else { return OrderReply::Failed };
        let number = req.order.fencing;
        if let Err(highest) = fencing.admit(number) {
            log::info!(
                "decision=refuse-order target={} fencing={number} highest={highest}",
                req.target
            );
            return OrderReply::StaleFencing { highest };
        }
        log::info!("decision=order target={} fencing={number}", req.target);
        match self.target.order(req.order).await {
            Ok(true) => OrderReply::Done,
            Ok(false) => OrderReply::StaleFencing { highest: number },
            Err(_) => OrderReply::Failed,
        }
    }

    async fn stored(&self) -> Option<Fencing> {
        let mut fencing = Fencing::default();
        match self.kv.get(FENCING_KEY, STORE_TIMEOUT).await {
            Outcome::Done(None) => Some(fencing),
            Outcome::Done(Some(held)) => {
                fencing.observe(serde_json::from_slice(&held.value).ok()?);
                Some(fencing)
            }
            Outcome::NotDone(_) | Outcome::Unknown => None,
        }
    }
}
