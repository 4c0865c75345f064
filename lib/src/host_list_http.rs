//! Host list over HTTP: a `GET` of the configured URL returns a JSON array.
//!
//! If the service sends entity tags, reads are conditional, since the list grows
//! with the fleet but rarely changes.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use reqwest::header::{ETAG, HeaderMap, IF_NONE_MATCH};
use reqwest::{Client, StatusCode};

use crate::host_list::{self, DecodedHosts, Host, HostList};
use crate::http_client::{self, ConnectionReuse};

/// Timeout for a read of the list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Size limit of the list, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Client of a host list over HTTP.
#[derive(Debug)]
pub struct HostListHttp {
    url: String,
    client: Client,
    last: Mutex<Option<TaggedList>>,
    /// Malformed items in the last list, of which only a change is logged.
    malformed: AtomicUsize,
}

/// List as last read, with its entity tag.
#[derive(Clone, Debug)]
struct TaggedList {
    tag: String,
    hosts: Vec<Host>,
}

impl HostListHttp {
    /// Opens a client for the list at `url`; connects on first use.
    pub fn open(url: &str) -> HostListHttp {
        HostListHttp {
            url: url.to_owned(),
            client: http_client::open(ConnectionReuse::Pooled),
            last: Mutex::default(),
            malformed: AtomicUsize::new(0),
        }
    }

    fn last(&self) -> Option<TaggedList> {
        self.last.lock().expect("no holder panics").clone()
    }

    fn decode(&self, body: &[u8]) -> Option<Vec<Host>> {
        let DecodedHosts { hosts, malformed } = host_list::decode(body).ok()?;
        if self.malformed.swap(malformed, Ordering::Relaxed) != malformed {
            log::warn!("event=hosts_malformed count={malformed}");
        }
        Some(hosts)
    }

    /// Stores the list for conditional reads, if the response has an entity tag.
    fn store_last(&self, headers: &HeaderMap, hosts: &[Host]) {
        let tag = headers.get(ETAG).and_then(|tag| tag.to_str().ok());
        let list = tag.map(|tag| TaggedList { tag: tag.to_owned(), hosts: hosts.to_vec() });
        *self.last.lock().expect("no holder panics") = list;
    }
}

#[async_trait]
impl HostList for HostListHttp {
    async fn hosts(&self) -> Option<Vec<Host>> {
        let last = self.last();
        let mut req = self.client.get(&self.url).timeout(TIMEOUT);
        if let Some(last) = &last {
            req = req.header(IF_NONE_MATCH, &last.tag);
        }
        let resp = req.send().await.ok()?.error_for_status().ok()?;
        if resp.status() == StatusCode::NOT_MODIFIED {
            return last.map(|last| last.hosts);
        }
        let headers = resp.headers().clone();
        let hosts = self.decode(&http_client::read(resp, MAX_LIST_BYTES).await?)?;
        self.store_last(&headers, &hosts);
        Some(hosts)
    }
}
