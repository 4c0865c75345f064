//! Key-value service over HTTP.
//!
//! - `GET /v1/kv/{key}` answers 200 with header `x-revision`, or 404.
//! - `GET /v1/kv/{key}?after=REV&wait_ms=N` answers once the revision differs
//!   from `REV`, or 304 after `N` milliseconds.
//! - `PUT /v1/kv/{key}?expect=REV[&lease=ID]` answers 200 or 409, both with
//!   `x-revision`, 410 for a lost lease, 413, or 503 if it did nothing.
//! - `POST /v1/leases?ttl_ms=N`, `PUT /v1/leases/{id}`, `DELETE /v1/leases/{id}`.
//!
//! A service with another dialect needs another file like this one and nothing
//! else.

use std::time::Duration;

use async_trait::async_trait;
use reqwest::{Client, RequestBuilder, Response, StatusCode, Url};
use snafu::{OptionExt, Snafu};

use crate::http_client::{self, ConnectionReuse};
use crate::kv_store::{KvStore, LeaseId, MAX_VALUE_BYTES, NotDone, Outcome, Revision, Versioned};

/// Header that carries the revision of a key.
pub const REVISION_HEADER: &str = "x-revision";

/// Time beyond a watch's own timeout in which the service may still answer.
const WATCH_GRACE: Duration = Duration::from_millis(500);

/// Why the service's address is unusable.
#[derive(Debug, Snafu)]
pub enum KvHttpError {
    #[snafu(display("`{url}` is not an http URL"))]
    BadUrl { url: String },
}

/// Key-value service reached over HTTP.
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
            .expect("checked when it was opened")
            .pop_if_empty()
            .extend(segments);
        url
    }

    /// Sends a read; answers its status, if there was one, and its outcome.
    async fn read(
        &self,
        req: RequestBuilder,
        timeout: Duration,
    ) -> (Option<StatusCode>, Outcome<Option<Versioned>>) {
        // A read has no effect, so that its failure is never unknown.
        let unavailable = Outcome::NotDone(NotDone::Unavailable);
        let Ok(resp) = req.timeout(timeout).send().await else {
            return (None, unavailable);
        };
        let status = resp.status();
        let outcome = match (status, revision_of(&resp)) {
            (StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED, _) => Outcome::Done(None),
            (StatusCode::OK, Some(revision)) => resp.bytes().await.map_or(unavailable, |value| {
                Outcome::Done(Some(Versioned { revision, value: value.into() }))
            }),
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
        seen: Revision,
        timeout: Duration,
    ) -> Outcome<Option<Versioned>> {
        let mut url = self.key_url(key);
        url.query_pairs_mut()
            .append_pair("after", &seen.to_string())
            .append_pair("wait_ms", &timeout.as_millis().to_string());
        let (status, read) = self.read(self.client.get(url), timeout + WATCH_GRACE).await;
        if status == Some(StatusCode::NOT_FOUND) && seen != Revision::ABSENT {
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
        let id = resp.text().await.ok().and_then(|text| text.trim().parse().ok());
        id.map_or(Outcome::Unknown, |id| Outcome::Done(LeaseId(id)))
    }

    async fn keep_alive(&self, lease: LeaseId, timeout: Duration) -> Outcome<()> {
        finish_lease_call(self.client.put(self.lease_url(lease)), timeout).await
    }

    async fn close_lease(&self, lease: LeaseId, timeout: Duration) -> Outcome<()> {
        finish_lease_call(self.client.delete(self.lease_url(lease)), timeout).await
    }
}

/// Sends a write; an error is the outcome where no useful answer came.
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

async fn finish_lease_call(req: RequestBuilder, timeout: Duration) -> Outcome<()> {
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
