//! Context that commands share: the operator's settings and the clients of the services
//! that these name.

use std::path::PathBuf;
use std::sync::Arc;

use rosemarymoor_lib::fleet_key::FleetKey;
use rosemarymoor_lib::host_list::{Host, HostList};
use rosemarymoor_lib::host_list_http::HostListHttp;
use rosemarymoor_lib::kv_http::KvHttp;
use rosemarymoor_lib::kv_store::KvStore;
use rosemarymoor_lib::transport::Transport;
use snafu::{OptionExt, ResultExt};

use crate::error::{CliError, FleetKeySnafu, HostsSnafu, StoreUrlSnafu, TransportSnafu};
use crate::operator_settings::OperatorSettings;

const DEFAULT_SETTINGS: &str = "rosemarymoor.ini";

/// Reads the operator's settings and opens clients when a command needs them.
pub struct Context {
    settings: PathBuf,
}

impl Context {
    /// Creates a context for a settings file, by default `rosemarymoor.ini`.
    pub fn new(settings: Option<String>) -> Context {
        Context { settings: settings.unwrap_or_else(|| DEFAULT_SETTINGS.to_owned()).into() }
    }

    /// Reads the operator's settings.
    ///
    /// # Errors
    ///
    /// Fails with [`CliError::Settings`] if the file cannot be read or is not valid.
    pub fn settings(&self) -> Result<OperatorSettings, CliError> {
        OperatorSettings::open(&self.settings).map_err(|errors| CliError::Settings { errors })
    }

    /// Opens a client of the key-value service.
    ///
    /// # Errors
    ///
    /// Fails if the settings or the service's URL are not valid.
    pub fn store(&self) -> Result<Arc<dyn KvStore>, CliError> {
        let url = self.settings()?.kv_url;
        Ok(Arc::new(KvHttp::open(&url).context(StoreUrlSnafu)?))
    }

    /// Fetches the current host list.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid or the host list is unavailable.
    pub async fn hosts(&self) -> Result<Vec<Host>, CliError> {
        let url = self.settings()?.hosts_url;
        HostListHttp::open(&url).hosts().await.context(HostsSnafu)
    }

    /// Opens a client for calls to the fleet's processes.
    ///
    /// # Errors
    ///
    /// Fails if the settings or the fleet key are not valid, or no local port can be bound.
    pub fn transport(&self) -> Result<Arc<Transport>, CliError> {
        let key = FleetKey::from_base64(&self.settings()?.fleet_key).context(FleetKeySnafu)?;
        Transport::bind_client(&key).context(TransportSnafu)
    }
}
