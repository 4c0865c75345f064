//! Sends orders to the target and refuses those with a stale fencing number.

use std::sync::Arc;
use std::time::Duration;

use rosemarymoor_lib::fencing::{FENCING_KEY, Fencing};
use rosemarymoor_lib::kv_store::{KvStore, Outcome};
use rosemarymoor_lib::target_client::TargetClient;
use rosemarymoor_lib::wire::{OrderReply, OrderRequest};
use tokio::sync::Mutex;

/// Longest wait for the store to return the fencing number.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends all orders to one target.
pub struct OrderSender {
    target_name: String,
    target: Arc<dyn TargetClient>,
    kv: Arc<dyn KvStore>,
    /// `None` until the highest fencing number so far has been read from the store.
    fencing: Mutex<Option<Fencing>>,
}

impl OrderSender {
    /// Creates the sender of orders to `target`.
    pub fn open(
        target_name: String,
        target: Arc<dyn TargetClient>,
        kv: Arc<dyn KvStore>,
    ) -> OrderSender {
        OrderSender { target_name, target, kv, fencing: Mutex::const_new(None) }
    }

    /// Sends an order to the target unless a higher fencing number is known.
    ///
    /// The lock is held until the target has answered, so that an older order that was
    /// admitted first cannot reach the target after a newer one.
    pub async fn send(&self, req: OrderRequest) -> OrderReply {
        if req.target != self.target_name {
            return OrderReply::WrongTarget;
        }
        let mut known = self.fencing.lock().await;
        if known.is_none() {
            *known = self.read_fencing().await;
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

    /// Reads the highest fencing number from the store; `None` if the store does not answer or
    /// its value is malformed.
    async fn read_fencing(&self) -> Option<Fencing> {
        let mut fencing = Fencing::default();
        match self.kv.get(FENCING_KEY, STORE_TIMEOUT).await {
            Outcome::Done(None) => Some(fencing),
            Outcome::Done(Some(versioned)) => {
                fencing.observe(serde_json::from_slice(&versioned.value).ok()?);
                Some(fencing)
            }
            Outcome::NotDone(_) | Outcome::Unknown => None,
        }
    }
}
