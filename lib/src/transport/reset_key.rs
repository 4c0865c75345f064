//! Stateless resets that the fleet's processes recognise across restarts.
//!
//! A process that was killed and started again at its old address knows nothing
//! of its former connections. It answers their packets by a reset that only the
//! holder of the reset key can make. The key comes from the fleet key, so that
//! the new process has the same; its peers drop a dead connection on the first
//! packet, in place of waiting for the idle timeout.

use std::sync::Arc;

use std::time::Duration;

use quinn::crypto::{CryptoError, HmacKey};
use quinn::{ConnectionId, ConnectionIdGenerator, EndpointConfig};
use rand::Rng;

use crate::fleet_key::FleetKey;

const RESET_PURPOSE: &str = "rosemarymoor 1 stateless reset";
const CONNECTION_ID_BYTES: usize = 8;

/// Settings of an endpoint whose resets every process of the fleet recognises.
pub fn endpoint_config(key: &FleetKey) -> EndpointConfig {
    let mut cfg = EndpointConfig::new(Arc::new(ResetKey(key.derive(RESET_PURPOSE))));
    cfg.cid_generator(|| Box::new(RandomIds));
    cfg
}

/// Random connection ids; quinn's own refuse to answer those of a former process.
struct RandomIds;

impl ConnectionIdGenerator for RandomIds {
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

/// BLAKE3 in keyed mode.
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
