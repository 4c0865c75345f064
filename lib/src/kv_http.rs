//! Client of the platform's key-value service over HTTP.
//!
//! - `GET /v1/kv/{key}` returns 200 with header `x-revision`, or 404.
//! - `GET /v1/kv/{key}?after=REV&wait_ms=N` returns when the revision differs from
//!   `REV`, or 304 after `N` milliseconds.
//! - `PUT /v1/kv/{key}?expect=REV[&lease=ID]` returns 200 or 409, both with
//!   `x-revision`, 410 if the lease has ended, 413 if the value is too large, or 503
//!   if the call took no effect.
//! - `POST /v1/leases?ttl_ms=N`, `PUT /v1/leases/{id}`, `DELETE /v1/leases/{id}`.
//!
//! A service with another protocol needs only another implementation of [`KvStore`].

use std::time::Duration;

use async_trait::async_trait;
use reqwest::{Client, RequestBuilder, Response, StatusCode, Url};
use snafu::{OptionExt, Snafu};

use crate::http_client::{self, ConnectionReuse};
use crate::kv_store::{KvStore, LeaseId, MAX_VALUE_BYTES, NotDone, Outcome, Revision, Versioned};

/// Header that carries the revision of a key.
pub const REVISION_HEADER: &str = "x-revision";

/// Size limit of the answer that names a lease, in bytes.
const MAX_LEASE_BYTES: usize = 4 << 10;

/// Time after a watch's timeout for the service's answer to arrive.
const WATCH_GRACE: Duration = Duration::from_millis(500);

/// Reason why the service's address is unusable.
#[derive(Debug, Snafu)]
pub enum KvHttpError {
    #[snafu(display("`{url}` is not an http URL"))]
    BadUrl { url: String },
}

/// Client of a key-value service over HTTP.
#[derive(Clone, Debug)]
pub struct KvHttp {
    base: Url,
    client: Client,
}

impl KvHttp {
    /// Opens a client for the service at `base_url`; connects on first use.
    pub fn open(base_url: &str) -> Result<KvHttp, KvHttpError> {
        let base = Url::parse(base_url).ok().filter(|url| url.scheme() == "http" && url.has_host());
        let base = base.context(BadUrlSnafu { url: base_url })?;
        Ok(KvHttp { base, client: http_client::open(ConnectionReuse::Pooled) })
    }

    fn key_url(&self, key: &str) -> Url {
        self.url(["v1", "kv"].into_iter().chain(key.split('/')))
    }

    fn lease_url(&self, lease: LeaseId) -> Url {
        self.url(["v1", "leases", &lease.to_string()])
    }

    fn url<'a>(&self, segments: impl IntoIterator<Item = &'a str>) -> Url {
        let mut url = self.base.clone();
        url.path_segments_mut()
            .expect("an http URL has path segments")
            .pop_if_empty()
            .extend(segments);
        url
    }

    /// Sends a read; returns the HTTP status, if there is one, and the outcome.
    async fn read(
        &self,
        req: RequestBuilder,
        timeout: Duration,
    ) -> (Option<StatusCode>, Outcome<Option<Versioned>>) {
        // A read has no effect, so a failed one is never `Unknown`.
        let unavailable = Outcome::NotDone(NotDone::Unavailable);
        let Ok(resp) = req.timeout(timeout).send().await else {
            return (None, unavailable);
        };
        let status = resp.status();
        let outcome = match (status, revision_of(&resp)) {
            (StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED, _) => Outcome::Done(None),
            (StatusCode::OK, Some(revision)) => {
                let value = http_client::read(resp, MAX_VALUE_BYTES).await;
                value.map_or(unavailable, |value| {
                    Outcome::Done(Some(Versioned { revision, value: value.into() }))
                })
            }
            _ => unavailable,
        };
        (Some(status), outcome)
    }
}

#[async_trait]
impl KvStore for KvHttp {
    async fn get(&self, key: &str, timeout: Duration) -> Outcome<Option<Versioned>> {
        self.read(self.client.get(self.key_url(key)), timeout).await.1
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
        timeout: Duration,
    ) -> Outcome<Revision> {
        if value.len() > MAX_VALUE_BYTES {
            return Outcome::NotDone(NotDone::TooLarge);
        }
        let mut url = self.key_url(key);
        url.query_pairs_mut().append_pair("expect", &expected.to_string());
        if let Some(lease) = lease {
            url.query_pairs_mut().append_pair("lease", &lease.to_string());
        }
        let resp = match write(self.client.put(url).body(value), timeout).await {
            Ok(resp) => resp,
            Err(outcome) => return outcome,
        };
        match (resp.status(), revision_of(&resp)) {
            (StatusCode::OK, Some(revision)) => Outcome::Done(revision),
            (StatusCode::CONFLICT, Some(current)) => {
                Outcome::NotDone(NotDone::Conflict { current })
            }
            (StatusCode::GONE, _) => Outcome::NotDone(NotDone::LeaseGone),
            (StatusCode::PAYLOAD_TOO_LARGE, _) => Outcome::NotDone(NotDone::TooLarge),
            _ => Outcome::Unknown,
        }
    }

    async fn watch(
        &self,
        key: &str,
        last_read: Revision,
        timeout: Duration,
    ) -> Outcome<Option<Versioned>> {
        let mut url = self.key_url(key);
        url.query_pairs_mut()
            .append_pair("after", &last_read.to_string())
            .append_pair("wait_ms", &timeout.as_millis().to_string());
        let (status, read) = self.read(self.client.get(url), timeout + WATCH_GRACE).await;
        if status == Some(StatusCode::NOT_FOUND) && last_read != Revision::ABSENT {
            let deleted = Versioned { revision: Revision::ABSENT, value: Vec::new() };
            return Outcome::Done(Some(deleted));
        }
        read
    }

    async fn open_lease(&self, ttl: Duration, timeout: Duration) -> Outcome<LeaseId> {
        let mut url = self.url(["v1", "leases"]);
        url.query_pairs_mut().append_pair("ttl_ms", &ttl.as_millis().to_string());
        let resp = match write(self.client.post(url), timeout).await {
            Ok(resp) => resp,
            Err(outcome) => return outcome,
        };
        if !resp.status().is_success() {
            return Outcome::Unknown;
        }
        let body = http_client::read(resp, MAX_LEASE_BYTES).await;
        let text = body.and_then(|body| String::from_utf8(body.into()).ok());
        let id = text.and_then(|text| text.trim().parse().ok());
        id.map_or(Outcome::Unknown, |id| Outcome::Done(LeaseId(id)))
    }

    async fn keep_alive(&self, lease: LeaseId, timeout: Duration) -> Outcome<()> {
        call_lease(self.client.put(self.lease_url(lease)), timeout).await
    }

    async fn close_lease(&self, lease: LeaseId, timeout: Duration) -> Outcome<()> {
        call_lease(self.client.delete(self.lease_url(lease)), timeout).await
    }
}

/// Sends a write; the error is its outcome if there is no answer or the service is unavailable.
async fn write<T>(req: RequestBuilder, timeout: Duration) -> Result<Response, Outcome<T>> {
    match req.timeout(timeout).send().await {
        Ok(resp) if resp.status() == StatusCode::SERVICE_UNAVAILABLE => {
            Err(Outcome::NotDone(NotDone::Unavailable))
        }
        Ok(resp) => Ok(resp),
        Err(err) if err.is_connect() => Err(Outcome::NotDone(NotDone::Unavailable)),
        Err(_) => Err(Outcome::Unknown),
    }
}

/// Sends a call on an existing lease and returns its outcome.
async fn call_lease(req: RequestBuilder, timeout: Duration) -> Outcome<()> {
    match write(req, timeout).await {
        Ok(resp) if resp.status().is_success() => Outcome::Done(()),
        Ok(resp) if resp.status() == StatusCode::NOT_FOUND => Outcome::NotDone(NotDone::LeaseGone),
        Ok(_) => Outcome::Unknown,
        Err(outcome) => outcome,
    }
}

fn revision_of(resp: &Response) -> Option<Revision> {
    let text = resp.headers().get(REVISION_HEADER)?.to_str().ok()?;
    text.parse().ok().map(Revision)
}
