//! Links of a fleet through the fault proxy.

use std::io;
use std::net::SocketAddr;

use crate::fault_proxy::Link;

/// Links from each viewer to each host and to the platform.
#[derive(Default)]
pub(super) struct Links {
    peers: Vec<PeerLink>,
    platform: Vec<PlatformLink>,
}

struct PeerLink {
    viewer: String,
    host: String,
    link: Link,
}

struct PlatformLink {
    viewer: String,
    link: Link,
}

impl Links {
    pub(super) async fn bind_peer(
        &mut self,
        viewer: &str,
        host: &str,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let link = Link::bind_udp(target).await?;
        let address = link.address();
        self.peers.push(PeerLink { viewer: viewer.to_owned(), host: host.to_owned(), link });
        Ok(address)
    }

    pub(super) async fn bind_platform(
        &mut self,
        viewer: &str,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let link = Link::bind_tcp(target).await?;
        let address = link.address();
        self.platform.push(PlatformLink { viewer: viewer.to_owned(), link });
        Ok(address)
    }

    /// Bytes that a process has exchanged with its peers, both ways.
    pub(super) fn peer_bytes(&self, name: &str) -> u64 {
        let own = self.peers.iter().filter(|held| held.viewer == name || held.host == name);
        own.map(|held| held.link.forwarded_bytes()).sum()
    }

    /// Bytes that a process has exchanged with the platform, both ways.
    pub(super) fn platform_bytes(&self, name: &str) -> u64 {
        let own = self.platform.iter().filter(|held| held.viewer == name);
        own.map(|held| held.link.forwarded_bytes()).sum()
    }

    pub(super) fn set_cut(&self, viewer: &str, host: &str, cut: bool) {
        let matching = self.peers.iter().filter(|held| held.viewer == viewer && held.host == host);
        matching.for_each(|held| held.link.set_cut(cut));
    }

    pub(super) fn set_platform_cut(&self, viewer: &str, cut: bool) {
        let matching = self.platform.iter().filter(|held| held.viewer == viewer);
        matching.for_each(|held| held.link.set_cut(cut));
    }
}
