//! Tests of the host-list client against its stand-in: changes arrive, unchanged lists are not
//! sent again, and an outage is distinguished from an empty list.

use std::net::SocketAddr;
use std::time::Duration;

use rosemarymoor_lib::host_list::{Host, HostList, HostState, Role};
use rosemarymoor_lib::host_list_http::HostListHttp;
use rosemarymoor_testutils::host_list::HostListStandIn;

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
