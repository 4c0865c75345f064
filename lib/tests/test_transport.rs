//! The transport between processes over loopback: calls, restarted peers and other fleet keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::host_list::Role;
use rosemarymoor_lib::transport::{FrameStream, PeerHandler, Transport, TransportError};
use rosemarymoor_lib::wire::{PeerRequest, StatusReply};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Handler that answers each status request with [`status()`].
struct StatusHandler;

#[async_trait]
impl PeerHandler for StatusHandler {
    async fn handle(&self, req: PeerRequest, mut stream: FrameStream) {
        assert_eq!(req, PeerRequest::Status);
        stream.send(&status()).await.unwrap();
        stream.tx.finish().await;
    }
}

fn status() -> StatusReply {
    StatusReply {
        name: "entry-1".to_owned(),
        role: Role::Entry,
        data_center: "wien-a".to_owned(),
        region: "at-east".to_owned(),
        config_revision: 7,
        running: 1,
        queued: 2,
        draining: false,
        memory_bytes: 3,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Serves status requests on a free port and returns its address.
fn serve(key: &FleetKey) -> SocketAddr {
    let server = Transport::bind(loopback(), key).unwrap();
    let address = server.local_address().unwrap();
    tokio::spawn(server.serve(Arc::new(StatusHandler)));
    address
}

#[tokio::test]
async fn a_request_is_answered() {
    let key = FleetKey::from_base64(&FleetKey::generate().unwrap()).unwrap();
    let peer = serve(&key);
    let client = Transport::bind(loopback(), &key).unwrap();
    let reply: StatusReply = client.call(peer, &PeerRequest::Status, TIMEOUT).await.unwrap();
    assert_eq!(reply, status());
}

#[test]
fn a_peer_that_was_killed_and_restarted_is_reached_soon() {
    let key = FleetKey::from_base64(&FleetKey::generate().unwrap()).unwrap();
    let client_runtime = tokio::runtime::Runtime::new().unwrap();
    let first_runtime = tokio::runtime::Runtime::new().unwrap();
    let peer = first_runtime.block_on(async { serve(&key) });
    let client = client_runtime.block_on(async { Transport::bind(loopback(), &key).unwrap() });
    let call = || {
        let call = client.call::<StatusReply>(peer, &PeerRequest::Status, TIMEOUT);
        client_runtime.block_on(call)
    };
    assert_eq!(call().unwrap(), status());
    // Without its runtime the endpoint cannot send a close frame.
    first_runtime.shutdown_timeout(TIMEOUT);
    let second_runtime = tokio::runtime::Runtime::new().unwrap();
    second_runtime.block_on(async {
        let server = Transport::bind(peer, &key).unwrap();
        tokio::spawn(server.serve(Arc::new(StatusHandler)));
    });
    // The first call may fail by a stateless reset of the old connection, but must not time out.
    let first = call();
    assert!(!matches!(first, Err(TransportError::Timeout)), "{first:?}");
    assert_eq!(call().unwrap(), status());
}

#[tokio::test]
async fn a_peer_with_another_fleet_key_is_refused() {
    let key = FleetKey::from_base64(&FleetKey::generate().unwrap()).unwrap();
    let other = FleetKey::from_base64(&FleetKey::generate().unwrap()).unwrap();
    let peer = serve(&key);
    let client = Transport::bind(loopback(), &other).unwrap();
    let reply = client.call::<StatusReply>(peer, &PeerRequest::Status, TIMEOUT).await;
    assert!(reply.unwrap_err().is_undelivered());
}
