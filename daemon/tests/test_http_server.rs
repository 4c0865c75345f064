//! Health, readiness and metrics over a real socket.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rosemarymoor_daemon::http_server::{self, HttpServer, Metrics, Probe};
use rosemarymoor_lib::http_client::{self, ConnectionReuse};

struct Switch(AtomicBool);

impl Probe for Switch {
    fn is_ready(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let client = http_client::open(ConnectionReuse::Never);
    let response = client.get(format!("http://{address}{path}")).send().await.unwrap();
    (response.status().as_u16(), response.text().await.unwrap())
}

#[tokio::test]
async fn the_common_routes_answer_until_the_server_stops() {
    let address = free_address();
    let probe = Arc::new(Switch(AtomicBool::new(true)));
    let metrics = Metrics::start().unwrap();
    metrics.meter("test").u64_counter("decisions").build().add(3, &[]);
    let rocket = http_server::build(address, probe.clone(), metrics);
    let server = HttpServer::spawn(rocket).await.unwrap();
    assert_eq!(get(address, "/health").await, (200, "ok\n".to_owned()));
    assert_eq!(get(address, "/ready").await.0, 200);
    probe.0.store(false, Ordering::Relaxed);
    assert_eq!(get(address, "/ready").await.0, 503);
    let (status, text) = get(address, "/metrics").await;
    assert_eq!(status, 200);
    assert!(text.contains("decisions_total"), "{text}");
    server.stop().await;
    let client = http_client::open(ConnectionReuse::Never);
    assert!(client.get(format!("http://{address}/health")).send().await.is_err());
}

#[tokio::test]
async fn a_taken_address_is_an_error() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let probe = Arc::new(Switch(AtomicBool::new(true)));
    let rocket = http_server::build(address, probe, Metrics::start().unwrap());
    assert!(HttpServer::spawn(rocket).await.is_err());
}
