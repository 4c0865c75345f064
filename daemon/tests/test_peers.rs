//! Ranking of budget servers that do not answer.

use std::net::SocketAddr;
use std::time::Duration;

use rosemarymoor_daemon::direct::fleet_keys::peer_key;
use rosemarymoor_daemon::direct::peers::{PeerRecord, Peers};
use rosemarymoor_lib::kv_feed::{Changes, KeyChange, Listing};
use rosemarymoor_lib::kv_store::{Revision, Versioned};
use rosemarymoor_lib::time::MonotonicClock;

const SERVERS: u16 = 4;

fn item(number: u16) -> (String, Versioned) {
    let record = PeerRecord {
        name: format!("side-{number}"),
        role: "budget-server".to_owned(),
        data_center: "leics".to_owned(),
        internal: SocketAddr::from(([127, 0, 0, 1], number)),
    };
    let value = serde_json::to_vec(&record).unwrap();
    (peer_key("budget-server", &record.name), Versioned { revision: Revision(1), value })
}

fn open() -> Peers {
    let peers = Peers::open(MonotonicClock::start());
    let items = (1..=SERVERS).map(item).collect();
    peers.apply_listing(&Listing { items, global_revision: Revision(1) }, false);
    peers
}

fn first(peers: &Peers) -> SocketAddr {
    peers.ranked_budget_servers(7)[0].internal
}

/// A host that is gone stays listed for minutes. Each entry tried it with a request every 2 s, for
/// each budget (users' site bwf-ost-large, inc-bbe2).
#[tokio::test]
async fn a_server_that_never_answers_is_tried_ever_less_often() {
    let peers = open();
    let gone = first(&peers);
    peers.record_failure(gone);
    // Calls that were open at the same time fail with it and count once.
    peers.record_failure(gone);
    assert_ne!(first(&peers), gone);
    std::thread::sleep(Duration::from_millis(2_050));
    assert_eq!(first(&peers), gone, "it is tried again after two seconds");
    peers.record_failure(gone);
    std::thread::sleep(Duration::from_millis(2_050));
    assert_ne!(first(&peers), gone, "the second pause is longer");
}

#[tokio::test]
async fn a_server_that_answers_or_lists_itself_again_has_its_rank_at_once() {
    let peers = open();
    let server = first(&peers);
    peers.record_failure(server);
    peers.record_answer(server);
    assert_eq!(first(&peers), server);
    peers.record_failure(server);
    let (key, value) = item(server.port());
    let changes = vec![KeyChange { key, value: Some(value) }];
    peers.apply_changes(&Changes::Received { changes, global_revision: Revision(2) });
    assert_eq!(first(&peers), server);
}

/// Guards against one server that answers the watches of a whole data centre: on the users' sweep
/// its traffic grew as the number of hosts, to 456 kB/s at 300.
#[test]
fn entries_of_a_large_data_center_are_divided_over_several_watch_servers() {
    let peers = Peers::open(MonotonicClock::start());
    let entry = |number: u16| {
        let record = PeerRecord {
            name: format!("front-{number}"),
            role: "direct-entry".to_owned(),
            data_center: "leics".to_owned(),
            internal: SocketAddr::from(([127, 0, 0, 2], number)),
        };
        let value = serde_json::to_vec(&record).unwrap();
        (peer_key("direct-entry", &record.name), Versioned { revision: Revision(1), value })
    };
    let items = (1..=100).map(entry).chain((1..=50).map(item)).collect();
    peers.apply_listing(&Listing { items, global_revision: Revision(1) }, false);
    let mut chosen: Vec<u16> =
        (0..1_000).map(|key| peers.watch_server("leics", key).unwrap().internal.port()).collect();
    let most = (1..=50).map(|port| chosen.iter().filter(|chosen| **chosen == port).count()).max();
    chosen.sort_unstable();
    chosen.dedup();
    assert!((4..=7).contains(&chosen.len()), "{} servers for 100 entries", chosen.len());
    assert!(most.unwrap() <= 400, "{most:?} of 1,000 keys share a server");
}
