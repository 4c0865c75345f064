//! Forwarding links on loopback that can be cut, healed and delayed.
//!
//! A cut link loses datagrams and holds TCP bytes back without a reset, as a
//! network partition does. TCP connections opened meanwhile are accepted and
//! then hang.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

const BUFFER_BYTES: usize = 64 << 10;
const QUEUED_DATAGRAMS: usize = 4_096;
const RECONNECT: Duration = Duration::from_millis(20);

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    pub cut: bool,
    /// Whether only the target's bytes are held back; TCP links alone know it.
    pub replies_blocked: bool,
    /// One-way delay.
    pub delay: Duration,
    /// Number of times that all TCP connections were reset.
    pub resets: u64,
}

/// What a link's tasks share.
#[derive(Clone)]
struct Wire {
    state: watch::Receiver<LinkState>,
    forwarded: Arc<AtomicU64>,
}

impl Wire {
    fn count(&self, bytes: usize) {
        self.forwarded.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    async fn until_healed(&mut self) -> bool {
        self.state.wait_for(|state| !state.cut).await.is_ok()
    }

    /// Waits until bytes may pass, those of the target if `back`.
    async fn until_open(&mut self, back: bool) -> bool {
        self.state.wait_for(|state| !(state.cut || back && state.replies_blocked)).await.is_ok()
    }

    /// Waits until all connections are reset.
    async fn until_reset(&mut self) {
        let seen = self.state.borrow().resets;
        let _ = self.state.wait_for(|state| state.resets != seen).await;
    }
}

/// One forwarded address; it stops when it is dropped.
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    forwarded: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Link {
    /// Forwards TCP connections to `target`.
    pub async fn bind_tcp(target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        Ok(Link::spawn(address, |wire| forward_tcp(listener, target, wire)))
    }

    /// Forwards datagrams to `target` and its replies back.
    pub async fn bind_udp(target: SocketAddr) -> io::Result<Link> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = socket.local_addr()?;
        Ok(Link::spawn(address, |wire| forward_udp(Arc::new(socket), target, wire)))
    }

    fn spawn<F>(address: SocketAddr, forward: impl FnOnce(Wire) -> F) -> Link
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (state, seen) = watch::channel(LinkState::default());
        let forwarded = Arc::new(AtomicU64::new(0));
        let wire = Wire { state: seen, forwarded: forwarded.clone() };
        let task = tokio::spawn(forward(wire));
        Link { address, state, forwarded, task }
    }

    /// Bytes forwarded so far, both ways.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Address to connect to in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or heals the link.
    pub fn set_cut(&self, cut: bool) {
        self.state.send_modify(|state| state.cut = cut);
    }

    /// Holds the target's bytes back, or lets them pass again.
    pub fn set_replies_blocked(&self, blocked: bool) {
        self.state.send_modify(|state| state.replies_blocked = blocked);
    }

    /// Resets all TCP connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Changes the one-way delay.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward_tcp(listener: TcpListener, target: SocketAddr, wire: Wire) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if let Ok((socket, _)) = listener.accept().await {
            connections.spawn(forward_connection(socket, target, wire.clone()));
        }
    }
}

async fn forward_connection(socket: TcpStream, target: SocketAddr, mut wire: Wire) {
    if !wire.until_healed().await {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = socket.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let Ok(kept) = socket.as_fd().try_clone_to_owned() else { return };
    let (down_rx, down_tx) = socket.into_split();
    let (up_rx, up_tx) = upstream.into_split();
    // A connection that ends on one side ends on both.
    tokio::select! {
        () = pump(down_rx, up_tx, wire.clone(), false) => {}
        () = pump(up_rx, down_tx, wire.clone(), true) => {}
        () = wire.until_reset() => {
            // With the option set, the last close sends a reset.
            let _ = rustix::net::sockopt::set_socket_linger(&kept, Some(Duration::ZERO));
        }
    }
}

async fn pump(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, mut wire: Wire, back: bool) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let length = match rx.read(&mut buf).await {
            Ok(length) if length > 0 => length,
            _ => return,
        };
        let delay = wire.state.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if !wire.until_open(back).await {
            return;
        }
        wire.count(length);
        if tx.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}

/// One client of a UDP link with its own socket towards the target.
struct Flow {
    client: SocketAddr,
    tx: mpsc::Sender<(Instant, Vec<u8>)>,
}

async fn forward_udp(socket: Arc<UdpSocket>, target: SocketAddr, wire: Wire) {
    let mut flows: Vec<Flow> = Vec::new();
    let mut tasks = JoinSet::new();
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok((length, client)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let seen = *wire.state.borrow();
        if seen.cut {
            continue;
        }
        wire.count(length);
        let at = match flows.binary_search_by_key(&client, |flow| flow.client) {
            Ok(at) => at,
            Err(at) => {
                let Ok(upstream) = connect_udp(target).await else {
                    continue;
                };
                let (tx, rx) = mpsc::channel(QUEUED_DATAGRAMS);
                tasks.spawn(send_datagrams(upstream.clone(), rx));
                tasks.spawn(return_datagrams(upstream, socket.clone(), client, wire.clone()));
                flows.insert(at, Flow { client, tx });
                at
            }
        };
        let due = Instant::now() + seen.delay;
        let _ = flows[at].tx.try_send((due, buf[..length].to_vec()));
    }
}

async fn connect_udp(target: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let upstream = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    upstream.connect(target).await?;
    Ok(Arc::new(upstream))
}

async fn send_datagrams(upstream: Arc<UdpSocket>, mut rx: mpsc::Receiver<(Instant, Vec<u8>)>) {
    while let Some((due, datagram)) = rx.recv().await {
        tokio::time::sleep_until(due).await;
        let _ = upstream.send(&datagram).await;
    }
}

async fn return_datagrams(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    wire: Wire,
) {
    let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(QUEUED_DATAGRAMS);
    let deliver = async {
        while let Some((due, datagram)) = rx.recv().await {
            tokio::time::sleep_until(due).await;
            let _ = socket.send_to(&datagram, client).await;
        }
    };
    let receive = async {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            // A refused datagram shows up as an error while the target is down.
            let Ok(length) = upstream.recv(&mut buf).await else {
                tokio::time::sleep(RECONNECT).await;
                continue;
            };
            let seen = *wire.state.borrow();
            if !seen.cut {
                wire.count(length);
                let _ = tx.try_send((Instant::now() + seen.delay, buf[..length].to_vec()));
            }
        }
    };
    tokio::join!(deliver, receive);
}
