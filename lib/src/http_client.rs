//! HTTP clients towards the platform and the targets.
//!
//! All of them send a request once: no redirects, no retries, no proxy from the
//! environment. A pooled connection that closed before a request was handed to
//! it is replaced; a request whose bytes may have left is never sent again.

use std::time::Duration;

use reqwest::Client;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_PER_HOST: usize = 64;

/// Whether a client keeps idle connections for later requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Idle connections serve later requests.
    Pooled,
    /// Every request opens its own connection, so that a failed connect is
    /// known not to have delivered anything.
    Never,
}

/// Opens a client; call it once and clone the handle.
///
/// # Panics
///
/// Panics if the TLS library cannot start.
pub fn open(reuse: ConnectionReuse) -> Client {
    // The first caller of the process wins; all of them install the same provider.
    let _ = rustls::crypto::ring::default_provider().install_default();
    let idle = match reuse {
        ConnectionReuse::Pooled => MAX_IDLE_PER_HOST,
        ConnectionReuse::Never => 0,
    };
    Client::builder()
        .tls_certs_only([])
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .build()
        .expect("the client's settings are constant")
}
