//! QUIC transport between the fleet's processes.
//!
//! Each request uses a stream of its own, which carries length-prefixed frames of
//! [`crate::wire`] messages.

mod reset_key;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{
    ClientConfig, Connection, Endpoint, RecvStream, SendStream, ServerConfig, TokioRuntime, VarInt,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::fleet_key::{FleetKey, FleetKeyError, SERVER_NAME};
use crate::wire::{MAX_FRAME_BYTES, PeerRequest, WIRE_VERSION};

/// Interval of keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(4);
/// Time without packets after which a connection is lost, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 12_000;
const MAX_STREAMS_PER_CONNECTION: u32 = 4_096;
const CLOSE_NORMAL: VarInt = VarInt::from_u32(0);

/// Reason why the transport cannot start or an exchange with a peer failed.
#[derive(Debug, Snafu)]
pub enum TransportError {
    #[snafu(display("cannot bind {address}"))]
    Bind { address: SocketAddr, source: std::io::Error },
    #[snafu(display("the fleet key is unusable"))]
    Key { source: FleetKeyError },
    #[snafu(display("the TLS settings have no cipher suite for QUIC"))]
    Quic { source: quinn::crypto::rustls::NoInitialCipherSuite },
    #[snafu(display("cannot reach {peer}: {detail}"))]
    Connect { peer: SocketAddr, detail: String },
    #[snafu(display("the stream broke: {detail}"))]
    Stream { detail: String },
    #[snafu(display("the peer sent a malformed frame"))]
    Malformed,
    #[snafu(display("no answer in time"))]
    Timeout,
}

impl TransportError {
    /// Returns whether it is certain that no byte of the request has reached the peer.
    pub fn is_undelivered(&self) -> bool {
        !matches!(
            self,
            TransportError::Stream { .. } | TransportError::Malformed | TransportError::Timeout
        )
    }
}

/// Handler of the streams that peers open.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers one request on its stream.
    async fn handle(&self, req: PeerRequest, stream: FrameStream);
}

/// Running QUIC endpoint that caches one connection per peer.
pub struct Transport {
    endpoint: Endpoint,
    client: ClientConfig,
    /// Sorted by peer.
    connections: Mutex<Vec<PeerConnection>>,
}

struct PeerConnection {
    peer: SocketAddr,
    connection: Connection,
}

impl Transport {
    /// Binds the endpoint; has to be called in a tokio runtime.
    pub fn bind(address: SocketAddr, key: &FleetKey) -> Result<Arc<Transport>, TransportError> {
        let settings = Arc::new(transport_settings());
        let server_tls = key.server_config().context(KeySnafu)?;
        let server_crypto = QuicServerConfig::try_from(server_tls).context(QuicSnafu)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server_crypto));
        server.transport_config(settings.clone());
        let client_tls = key.client_config().context(KeySnafu)?;
        let client_crypto = QuicClientConfig::try_from(client_tls).context(QuicSnafu)?;
        let mut client = ClientConfig::new(Arc::new(client_crypto));
        client.transport_config(settings);
        let socket = std::net::UdpSocket::bind(address).context(BindSnafu { address })?;
        let runtime = Arc::new(TokioRuntime);
        let endpoint =
            Endpoint::new(reset_key::endpoint_config(key), Some(server), socket, runtime)
                .context(BindSnafu { address })?;
        Ok(Arc::new(Transport { endpoint, client, connections: Mutex::default() }))
    }

    /// Binds an endpoint for a client, on the wildcard address and a free port.
    pub fn bind_client(key: &FleetKey) -> Result<Arc<Transport>, TransportError> {
        Transport::bind(SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0), key)
    }

    /// Returns the address that the endpoint is bound to.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Opens a stream to `peer` and sends the first message.
    ///
    /// `timeout` applies to connecting and to sending separately. The peer cannot have
    /// received the request if [`TransportError::is_undelivered`] is true of the error.
    pub async fn open(
        &self,
        peer: SocketAddr,
        req: &PeerRequest,
        timeout: Duration,
    ) -> Result<FrameStream, TransportError> {
        let connecting = async {
            let connection = self.connection(peer).await?;
            connection.open_bi().await.map_err(|err| connect_error(peer, err))
        };
        let (tx, rx) = match tokio::time::timeout(timeout, connecting).await {
            Ok(streams) => streams?,
            Err(_) => return ConnectSnafu { peer, detail: "no connection in time" }.fail(),
        };
        let mut stream = FrameStream { tx: FrameSender { tx }, rx: FrameReceiver { rx } };
        match tokio::time::timeout(timeout, stream.send(req)).await {
            Ok(sent) => sent.map(|()| stream),
            Err(_) => TimeoutSnafu.fail(),
        }
    }

    /// Sends a request and waits up to `timeout` for its single reply.
    pub async fn call<R: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        req: &PeerRequest,
        timeout: Duration,
    ) -> Result<R, TransportError> {
        let mut stream = self.open(peer, req, timeout).await?;
        match tokio::time::timeout(timeout, stream.recv()).await {
            Ok(reply) => reply?.ok_or(TransportError::Malformed),
            Err(_) => {
                // The peer may have restarted while the connection seems open. The next
                // call opens a new connection; streams on the old one continue.
                self.remove_connection(peer);
                TimeoutSnafu.fail()
            }
        }
    }

    /// Accepts connections and serves their streams until the endpoint closes.
    pub async fn serve(self: Arc<Transport>, handler: Arc<dyn PeerHandler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let handler = handler.clone();
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    serve_connection(connection, handler).await;
                }
            });
        }
    }

    /// Closes all connections and waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint.close(CLOSE_NORMAL, b"stopped");
        self.endpoint.wait_idle().await;
    }

    /// Returns the cached connection to a peer or opens a new one.
    async fn connection(&self, peer: SocketAddr) -> Result<Connection, TransportError> {
        if let Some(connection) = self.cached_connection(peer) {
            return Ok(connection);
        }
        let connecting = self
            .endpoint
            .connect_with(self.client.clone(), peer, SERVER_NAME)
            .map_err(|err| connect_error(peer, err))?;
        let connection = connecting.await.map_err(|err| connect_error(peer, err))?;
        self.cache_connection(peer, connection.clone());
        Ok(connection)
    }

    fn remove_connection(&self, peer: SocketAddr) {
        let mut connections = self.connections.lock().expect("no holder panics");
        if let Ok(index) = connections.binary_search_by_key(&peer, |cached| cached.peer) {
            connections.remove(index);
        }
    }

    /// Returns the cached connection to a peer; drops it from the cache if it is closed.
    fn cached_connection(&self, peer: SocketAddr) -> Option<Connection> {
        let mut connections = self.connections.lock().expect("no holder panics");
        let index = connections.binary_search_by_key(&peer, |cached| cached.peer).ok()?;
        let connection = connections[index].connection.clone();
        if connection.close_reason().is_none() {
            return Some(connection);
        }
        connections.remove(index);
        None
    }

    fn cache_connection(&self, peer: SocketAddr, connection: Connection) {
        let mut connections = self.connections.lock().expect("no holder panics");
        let cached = PeerConnection { peer, connection };
        match connections.binary_search_by_key(&peer, |cached| cached.peer) {
            Ok(index) => connections[index] = cached,
            Err(index) => connections.insert(index, cached),
        }
    }
}

fn transport_settings() -> quinn::TransportConfig {
    let mut settings = quinn::TransportConfig::default();
    settings
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_CONNECTION))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    settings
}

fn connect_error(peer: SocketAddr, err: impl std::fmt::Display) -> TransportError {
    TransportError::Connect { peer, detail: err.to_string() }
}

fn stream_error(err: impl std::fmt::Display) -> TransportError {
    TransportError::Stream { detail: err.to_string() }
}

async fn serve_connection(connection: Connection, handler: Arc<dyn PeerHandler>) {
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            let mut stream = FrameStream { tx: FrameSender { tx }, rx: FrameReceiver { rx } };
            if let Ok(Some(req)) = stream.recv().await {
                handler.handle(req, stream).await;
            }
        });
    }
}

/// Bidirectional stream of messages.
pub struct FrameStream {
    pub tx: FrameSender,
    pub rx: FrameReceiver,
}

impl FrameStream {
    /// Sends one message.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), TransportError> {
        self.tx.send(message).await
    }

    /// Receives one message; `None` at the end of the stream.
    pub async fn recv<T: DeserializeOwned>(&mut self) -> Result<Option<T>, TransportError> {
        self.rx.recv().await
    }
}

/// Sending direction of a stream.
pub struct FrameSender {
    tx: SendStream,
}

impl FrameSender {
    /// Sends one message.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), TransportError> {
        let mut frame = vec![0, 0, 0, 0, WIRE_VERSION];
        frame = postcard::to_extend(message, frame).map_err(stream_error)?;
        let length = (frame.len() - 4) as u32;
        frame[..4].copy_from_slice(&length.to_le_bytes());
        self.tx.write_all(&frame).await.map_err(stream_error)
    }

    /// Ends the stream and waits until the peer has acknowledged what was sent.
    pub async fn finish(mut self) {
        if self.tx.finish().is_ok() {
            let _ = self.tx.stopped().await;
        }
    }
}

/// Receiving direction of a stream.
pub struct FrameReceiver {
    rx: RecvStream,
}

impl FrameReceiver {
    /// Receives one message; `None` at the end of the stream.
    ///
    /// Not cancellation-safe: a dropped call may already have consumed part of a frame.
    pub async fn recv<T: DeserializeOwned>(&mut self) -> Result<Option<T>, TransportError> {
        let mut length = [0; 4];
        match self.rx.read_exact(&mut length).await {
            Ok(()) => {}
            Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
            Err(err) => return Err(stream_error(err)),
        }
        let length = u32::from_le_bytes(length) as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return MalformedSnafu.fail();
        }
        let mut frame = vec![0; length];
        self.rx.read_exact(&mut frame).await.map_err(stream_error)?;
        if frame[0] != WIRE_VERSION {
            return MalformedSnafu.fail();
        }
        postcard::from_bytes(&frame[1..]).map(Some).map_err(|_| TransportError::Malformed)
    }
}
