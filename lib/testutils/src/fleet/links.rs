//! Links of a fleet through the fault proxy, by which tests partition it and count its bytes.
//!
//! A viewer is the process that connects through a link; every viewer has its own links.

use std::io;
use std::net::SocketAddr;

use crate::fault_proxy::Link;

/// Links from each viewer to each host and to the platform.
#[derive(Default)]
pub(super) struct Links {
    peers: Vec<PeerLink>,
    platform: Vec<PlatformLink>,
}

/// UDP link from a viewer to another process.
struct PeerLink {
    viewer: String,
    host: String,
    link: Link,
}

/// TCP link from a viewer to the key-value service or the host list.
struct PlatformLink {
    viewer: String,
    link: Link,
}

impl Links {
    /// Opens a link to a process and returns the address to use in place of `target`.
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

    /// Opens a link to a platform service and returns the address to use in place of `target`.
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

    /// Returns the bytes that a process has exchanged with its peers, in both directions.
    pub(super) fn peer_bytes(&self, name: &str) -> u64 {
        let own = self.peers.iter().filter(|peer| peer.viewer == name || peer.host == name);
        own.map(|peer| peer.link.forwarded_bytes()).sum()
    }

    /// Returns the bytes that a process has exchanged with the platform, in both directions.
    pub(super) fn platform_bytes(&self, name: &str) -> u64 {
        let own = self.platform.iter().filter(|platform| platform.viewer == name);
        own.map(|platform| platform.link.forwarded_bytes()).sum()
    }

    /// Cuts or heals the link from `viewer` to `host`.
    pub(super) fn set_cut(&self, viewer: &str, host: &str, cut: bool) {
        let matching = self.peers.iter().filter(|peer| peer.viewer == viewer && peer.host == host);
        matching.for_each(|peer| peer.link.set_cut(cut));
    }

    /// Cuts or heals the links from `viewer` to the platform.
    pub(super) fn set_platform_cut(&self, viewer: &str, cut: bool) {
        let matching = self.platform.iter().filter(|platform| platform.viewer == viewer);
        matching.for_each(|platform| platform.link.set_cut(cut));
    }
}
