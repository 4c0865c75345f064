//! Identity of a caller's request, by which retries of it are recognised.

use crate::config::Route;
use crate::id::{RequestId, digest128};

/// Source of a request's identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum IdentitySource {
    /// The caller's `Idempotency-Key`.
    #[display("key")]
    Key,
    /// The content, on a route whose calls may not be repeated.
    #[display("content")]
    Content,
    /// Random, on a route whose calls may be repeated.
    #[display("fresh")]
    Fresh,
}

/// Content of a request that is included in its fingerprint.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    pub workspace: &'a str,
    pub route: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Returns a digest that is equal for equal requests of a workspace.
    pub fn fingerprint(&self) -> u128 {
        let parts: [&[u8]; 6] = [
            b"fingerprint",
            self.workspace.as_bytes(),
            self.route.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            self.body,
        ];
        digest128(&parts)
    }
}

/// Identity of a request, equal for every retry of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    pub request: RequestId,
    pub source: IdentitySource,
    /// Digest of the content, which distinguishes a reused key from a retry.
    pub fingerprint: u128,
}

/// Derives the identity of a request.
///
/// Uses `fresh` if there is no key and the calls of the route may be repeated.
///
/// The route's window bounds how long an identity from a key or from the
/// content is remembered; it is enforced where the identity is recorded.
pub fn identify(
    content: RequestContent<'_>,
    route: &Route,
    key: Option<&str>,
    fresh: RequestId,
) -> RequestIdentity {
    let fingerprint = content.fingerprint();
    let (request, source) = match key {
        Some(key) => (RequestId::from_key(content.workspace, key), IdentitySource::Key),
        None if route.repeatable => (fresh, IdentitySource::Fresh),
        None => (RequestId(fingerprint), IdentitySource::Content),
    };
    RequestIdentity { request, source, fingerprint }
}
