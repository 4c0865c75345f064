//! Fault proxy: forwards TCP connections and datagrams on loopback links that can be cut,
//! healed, delayed and reset.
//!
//! As in a network partition, a cut link drops datagrams and withholds TCP bytes without a
//! reset. TCP connections opened meanwhile are accepted and then hang until the link heals.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

const BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of datagrams that wait for their delay, per client and direction; more
/// are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 4_096;
/// Delay before receiving again after an error of the socket towards the target.
const RECV_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Whether nothing passes in either direction.
    pub cut: bool,
    /// Whether the bytes that the target sends are withheld; applies to TCP links only.
    pub replies_blocked: bool,
    /// Delay in each direction.
    pub delay: Duration,
    /// Number of times that all TCP connections have been reset.
    pub resets: u64,
}

/// State that the tasks of a link share.
#[derive(Clone)]
struct LinkContext {
    state: watch::Receiver<LinkState>,
    /// Bytes forwarded so far.
    forwarded: Arc<AtomicU64>,
}

impl LinkContext {
    fn count(&self, bytes: usize) {
        self.forwarded.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Waits until the link is not cut; returns false if the link is dropped.
    async fn wait_healed(&mut self) -> bool {
        self.state.wait_for(|state| !state.cut).await.is_ok()
    }

    /// Waits until bytes may pass, from the target if `is_reply` and to it otherwise; returns
    /// false if the link is dropped.
    async fn wait_open(&mut self, is_reply: bool) -> bool {
        self.state.wait_for(|state| !(state.cut || is_reply && state.replies_blocked)).await.is_ok()
    }

    /// Waits until the link's connections are reset.
    async fn wait_reset(&mut self) {
        let resets = self.state.borrow().resets;
        let _ = self.state.wait_for(|state| state.resets != resets).await;
    }
}

/// Running link to one target address; it stops forwarding when it is dropped.
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    forwarded: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Link {
    /// Forwards TCP connections to `target`.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn bind_tcp(target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        Ok(Link::spawn(address, |link| forward_tcp(listener, target, link)))
    }

    /// Forwards datagrams to `target` and its replies back.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn bind_udp(target: SocketAddr) -> io::Result<Link> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = socket.local_addr()?;
        Ok(Link::spawn(address, |link| forward_udp(Arc::new(socket), target, link)))
    }

    fn spawn<F>(address: SocketAddr, forward: impl FnOnce(LinkContext) -> F) -> Link
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (state, state_rx) = watch::channel(LinkState::default());
        let forwarded = Arc::new(AtomicU64::new(0));
        let link = LinkContext { state: state_rx, forwarded: forwarded.clone() };
        let task = tokio::spawn(forward(link));
        Link { address, state, forwarded, task }
    }

    /// Returns the number of bytes forwarded so far in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Returns the address to connect to in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.state.send_modify(|state| state.cut = cut);
    }

    /// Withholds the bytes that the target sends, or lets them pass again; TCP links only.
    pub fn set_replies_blocked(&self, blocked: bool) {
        self.state.send_modify(|state| state.replies_blocked = blocked);
    }

    /// Resets all open TCP connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Sets the delay in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward_tcp(listener: TcpListener, target: SocketAddr, link: LinkContext) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if let Ok((socket, _)) = listener.accept().await {
            connections.spawn(forward_connection(socket, target, link.clone()));
        }
    }
}

async fn forward_connection(mut socket: TcpStream, target: SocketAddr, mut link: LinkContext) {
    if !link.wait_healed().await {
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = socket.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    // Owned halves would close their socket regularly when they are dropped, before the reset.
    let (down_rx, down_tx) = socket.split();
    let (up_rx, up_tx) = upstream.split();
    // When either side ends, both sockets are dropped and so closed.
    let is_reset = tokio::select! {
        end = copy_bytes(down_rx, up_tx, link.clone(), false) => end.is_err(),
        end = copy_bytes(up_rx, down_tx, link.clone(), true) => end.is_err(),
        () = link.wait_reset() => true,
    };
    if is_reset {
        // With a linger time of zero, closing a socket sends a reset.
        for socket in [&socket, &upstream] {
            let _ = rustix::net::sockopt::set_socket_linger(socket, Some(Duration::ZERO));
        }
    }
}

/// Copies bytes of one direction, with the link's delay, until either side ends.
///
/// Returns an error if that was no regular close: to the other side it is a reset, since the end of
/// a connection may be the end of an answer.
async fn copy_bytes(
    mut rx: ReadHalf<'_>,
    mut tx: WriteHalf<'_>,
    mut link: LinkContext,
    is_reply: bool,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let length = rx.read(&mut buf).await?;
        if length == 0 {
            return Ok(());
        }
        let delay = link.state.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if !link.wait_open(is_reply).await {
            return Ok(());
        }
        link.count(length);
        tx.write_all(&buf[..length]).await?;
    }
}

/// Datagrams of one client of a UDP link, which has its own socket towards the target.
struct Flow {
    client: SocketAddr,
    /// Carries each datagram with the time at which to send it.
    tx: mpsc::Sender<(Instant, Vec<u8>)>,
}

async fn forward_udp(socket: Arc<UdpSocket>, target: SocketAddr, link: LinkContext) {
    let mut flows: Vec<Flow> = Vec::new();
    let mut tasks = JoinSet::new();
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok((length, client)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let state = *link.state.borrow();
        if state.cut {
            continue;
        }
        link.count(length);
        let index = match flows.binary_search_by_key(&client, |flow| flow.client) {
            Ok(index) => index,
            Err(index) => {
                let Ok(upstream) = connect_udp(target).await else {
                    continue;
                };
                let (tx, rx) = mpsc::channel(MAX_QUEUED_DATAGRAMS);
                tasks.spawn(send_datagrams(upstream.clone(), rx));
                tasks.spawn(return_datagrams(upstream, socket.clone(), client, link.clone()));
                flows.insert(index, Flow { client, tx });
                index
            }
        };
        let due = Instant::now() + state.delay;
        let _ = flows[index].tx.try_send((due, buf[..length].to_vec()));
    }
}

async fn connect_udp(target: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let upstream = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    upstream.connect(target).await?;
    Ok(Arc::new(upstream))
}

/// Sends each datagram to the target when it is due.
async fn send_datagrams(upstream: Arc<UdpSocket>, mut rx: mpsc::Receiver<(Instant, Vec<u8>)>) {
    while let Some((due, datagram)) = rx.recv().await {
        tokio::time::sleep_until(due).await;
        let _ = upstream.send(&datagram).await;
    }
}

/// Forwards the target's replies to one client.
async fn return_datagrams(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    link: LinkContext,
) {
    let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_QUEUED_DATAGRAMS);
    let deliver = async {
        while let Some((due, datagram)) = rx.recv().await {
            tokio::time::sleep_until(due).await;
            let _ = socket.send_to(&datagram, client).await;
        }
    };
    let receive = async {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            // While the target is down, a refused datagram is reported as a receive error.
            let Ok(length) = upstream.recv(&mut buf).await else {
                tokio::time::sleep(RECV_RETRY_DELAY).await;
                continue;
            };
            let state = *link.state.borrow();
            if !state.cut {
                link.count(length);
                let _ = tx.try_send((Instant::now() + state.delay, buf[..length].to_vec()));
            }
        }
    };
    tokio::join!(deliver, receive);
}
