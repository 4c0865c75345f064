//! Host list over HTTP: `GET` of the settings' URL answers a JSON array.

use std::time::Duration;

use async_trait::async_trait;
use reqwest::Client;

use crate::host_list::{Host, HostList};
use crate::http_client::{self, ConnectionReuse};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Host list reached over HTTP.
#[derive(Clone, Debug)]
pub struct HostListHttp {
    url: String,
    client: Client,
}

impl HostListHttp {
    /// Opens a client for the list at `url`; connects on first use.
    pub fn open(url: &str) -> HostListHttp {
        HostListHttp { url: url.to_owned(), client: http_client::open(ConnectionReuse::Pooled) }
    }
}

#[async_trait]
impl HostList for HostListHttp {
    async fn hosts(&self) -> Option<Vec<Host>> {
        let req = self.client.get(&self.url).timeout(TIMEOUT);
        let resp = req.send().await.ok()?.error_for_status().ok()?;
        let mut hosts: Vec<Host> = resp.json().await.ok()?;
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        Some(hosts)
    }
}
