//! Tests of the host-list client against its stand-in: changes arrive, unchanged lists are not
//! sent again, and an outage is distinguished from an empty list.

use std::net::SocketAddr;
use std::time::Duration;

use rosemarymoor_lib::host_list::{Host, HostList, HostState, Role};
use rosemarymoor_lib::host_list_http::HostListHttp;
use rosemarymoor_testutils::host_list::HostListStandIn;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn host(state: HostState) -> Host {
    Host {
        name: "engine-1".to_owned(),
        role: Role::Sidecar,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_center: "notts".to_owned(),
        region: "midlands".to_owned(),
        state,
    }
}

#[tokio::test]
async fn an_unchanged_list_is_answered_from_the_last_read() {
    let service = HostListStandIn::bind(Duration::ZERO).await.unwrap();
    service.set_hosts(vec![host(HostState::Live)]);
    let list = HostListHttp::open(&service.url("entry-1"));
    assert_eq!(list.hosts().await, Some(vec![host(HostState::Live)]));
    assert_eq!(list.hosts().await, Some(vec![host(HostState::Live)]));
    assert_eq!(service.lists_sent(), 1);
}

#[tokio::test]
async fn a_changed_list_is_sent() {
    let service = HostListStandIn::bind(Duration::ZERO).await.unwrap();
    service.set_hosts(vec![host(HostState::Live)]);
    let list = HostListHttp::open(&service.url("entry-1"));
    assert_eq!(list.hosts().await, Some(vec![host(HostState::Live)]));
    service.set_hosts(vec![host(HostState::Leaving)]);
    assert_eq!(list.hosts().await, Some(vec![host(HostState::Leaving)]));
}

#[tokio::test]
async fn an_outage_is_not_an_empty_list() {
    let service = HostListStandIn::bind(Duration::ZERO).await.unwrap();
    service.set_hosts(vec![host(HostState::Live)]);
    let list = HostListHttp::open(&service.url("entry-1"));
    assert!(list.hosts().await.is_some());
    service.set_down(true);
    assert_eq!(list.hosts().await, None);
}

/// Answers one request at a free port with this body; returns the URL.
async fn serve_once(body: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    format!("http://{address}/")
}

#[tokio::test]
async fn an_odd_item_leaves_the_other_hosts() {
    let live = host(HostState::Live);
    let good = serde_json::to_string(&live).unwrap();
    let port_out_of_range = good.replace("127.0.0.1:1", "127.0.0.1:70000");
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    for odd in ["1e400", "{}", &port_out_of_range, &deep] {
        let url = serve_once(format!("[{odd},{good}]")).await;
        let hosts = HostListHttp::open(&url).hosts().await;
        assert_eq!(hosts, Some(vec![live.clone()]), "{}", &odd[..odd.len().min(20)]);
    }
}
