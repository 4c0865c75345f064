//! QUIC stateless resets that peers recognise after a process has restarted.
//!
//! A process that was killed and restarted at the same address has no state of its
//! former connections and answers their packets with a stateless reset. The reset
//! key is derived from the fleet key, so that it is the same after a restart. Peers
//! therefore close a dead connection on the first packet instead of waiting for the
//! idle timeout.

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::{CryptoError, HmacKey};
use quinn::{ConnectionId, ConnectionIdGenerator, EndpointConfig};
use rand::Rng;

use crate::fleet_key::FleetKey;

/// Context string for deriving the key from the fleet key.
const RESET_PURPOSE: &str = "rosemarymoor 1 stateless reset";
const CONNECTION_ID_BYTES: usize = 8;

/// Returns the settings of an endpoint whose resets all processes of the fleet recognise.
pub fn endpoint_config(key: &FleetKey) -> EndpointConfig {
    let mut cfg = EndpointConfig::new(Arc::new(ResetKey(key.derive(RESET_PURPOSE))));
    cfg.cid_generator(|| Box::new(RandomConnectionIds));
    cfg
}

/// Generator of random connection ids.
///
/// Quinn's default generator sends no resets for the connection ids of a former process.
struct RandomConnectionIds;

impl ConnectionIdGenerator for RandomConnectionIds {
    fn generate_cid(&mut self) -> ConnectionId {
        let bytes: [u8; CONNECTION_ID_BYTES] = rand::rng().random();
        ConnectionId::new(&bytes)
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Reset key, which signs with BLAKE3 in keyed mode.
struct ResetKey([u8; 32]);

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        signature_out.copy_from_slice(blake3::keyed_hash(&self.0, data).as_bytes());
    }

    fn signature_len(&self) -> usize {
        blake3::OUT_LEN
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let expected = blake3::keyed_hash(&self.0, data);
        // `Hash` compares in constant time.
        match <[u8; blake3::OUT_LEN]>::try_from(signature) {
            Ok(signature) if expected == signature => Ok(()),
            _ => Err(CryptoError),
        }
    }
}
