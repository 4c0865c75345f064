//! What commands share: the operator's settings and the clients they name.

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

/// Opens what a command needs, when it needs it.
pub struct Context {
    settings: PathBuf,
}

impl Context {
    /// Context over the settings file that the arguments name.
    pub fn new(settings: Option<String>) -> Context {
        Context { settings: settings.unwrap_or_else(|| DEFAULT_SETTINGS.to_owned()).into() }
    }

    /// Reads the operator's settings.
    pub fn settings(&self) -> Result<OperatorSettings, CliError> {
        OperatorSettings::open(&self.settings).map_err(|errors| CliError::Settings { errors })
    }

    /// Client of the key-value service.
    pub fn store(&self) -> Result<Arc<dyn KvStore>, CliError> {
        let url = self.settings()?.kv_url;
        Ok(Arc::new(KvHttp::open(&url).context(StoreUrlSnafu)?))
    }

    /// Current host list.
    pub async fn hosts(&self) -> Result<Vec<Host>, CliError> {
        let url = self.settings()?.hosts_url;
        HostListHttp::open(&url).hosts().await.context(HostsSnafu)
    }

    /// Endpoint that reaches the fleet's processes.
    pub fn transport(&self) -> Result<Arc<Transport>, CliError> {
        let key = FleetKey::from_base64(&self.settings()?.fleet_key).context(FleetKeySnafu)?;
        Transport::bind_client(&key).context(TransportSnafu)
    }
}
