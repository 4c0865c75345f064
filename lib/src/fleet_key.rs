//! Mutual TLS between the fleet's processes, based on one shared key.
//!
//! All processes derive the same self-signed certificate from the fleet key. A peer
//! is accepted only if it presents that certificate and proves possession of the key.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rcgen::{CertificateParams, KeyPair, PKCS_ED25519};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{DigitallySignedStruct, DistinguishedName, Error, SignatureScheme};
use snafu::{ResultExt, Snafu};

/// Server name in the fleet's certificate.
pub const SERVER_NAME: &str = "rosemarymoor";

/// Application protocol that both sides of a connection negotiate.
const ALPN: &[u8] = b"rosemarymoor/1";

/// Reason why a fleet key is unusable.
#[derive(Debug, Snafu)]
pub enum FleetKeyError {
    #[snafu(display("the fleet key is not valid base64"))]
    Encoding { source: base64::DecodeError },
    #[snafu(display("the fleet key is not an Ed25519 key in PKCS#8 form"))]
    Key { source: rcgen::Error },
    #[snafu(display("the fleet key cannot be used for TLS"))]
    Tls { source: rustls::Error },
}

/// Private key that all processes of a fleet share, with its certificate.
#[derive(Debug)]
pub struct FleetKey {
    certificate: CertificateDer<'static>,
    /// Ed25519 key in PKCS#8 form.
    private_key: Vec<u8>,
}

impl FleetKey {
    /// Parses a key in the base64 form that [`FleetKey::generate`] returns.
    pub fn from_base64(text: &str) -> Result<FleetKey, FleetKeyError> {
        let private_key = STANDARD.decode(text.trim()).context(EncodingSnafu)?;
        let der = PrivatePkcs8KeyDer::from(private_key.as_slice());
        let pair = KeyPair::from_pkcs8_der_and_sign_algo(&der, &PKCS_ED25519).context(KeySnafu)?;
        let params = CertificateParams::new(vec![SERVER_NAME.to_owned()]).context(KeySnafu)?;
        let certificate = params.self_signed(&pair).context(KeySnafu)?;
        Ok(FleetKey { certificate: certificate.der().clone(), private_key })
    }

    /// Returns a new key in base64 form, for the settings of all processes of a fleet.
    pub fn generate() -> Result<String, FleetKeyError> {
        let pair = KeyPair::generate_for(&PKCS_ED25519).context(KeySnafu)?;
        Ok(STANDARD.encode(pair.serialize_der()))
    }

    /// Returns the TLS settings for accepting connections.
    pub fn server_config(&self) -> Result<rustls::ServerConfig, FleetKeyError> {
        let mut cfg = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(TlsSnafu)?
            .with_client_cert_verifier(Arc::new(self.verifier()))
            .with_single_cert(vec![self.certificate.clone()], self.tls_key())
            .context(TlsSnafu)?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        Ok(cfg)
    }

    /// Returns the TLS settings for opening connections.
    pub fn client_config(&self) -> Result<rustls::ClientConfig, FleetKeyError> {
        let mut cfg = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(TlsSnafu)?
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(self.verifier()))
            .with_client_auth_cert(vec![self.certificate.clone()], self.tls_key())
            .context(TlsSnafu)?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        Ok(cfg)
    }

    /// Derives a secret for a purpose other than TLS; it is the same in all processes of the fleet.
    pub fn derive(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, &self.private_key)
    }

    fn tls_key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(self.private_key.clone()))
    }

    fn verifier(&self) -> FleetVerifier {
        FleetVerifier { certificate: self.certificate.clone(), provider: provider() }
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// Verifier that accepts only the fleet's certificate, as a client's and as a server's.
#[derive(Debug)]
struct FleetVerifier {
    certificate: CertificateDer<'static>,
    provider: Arc<CryptoProvider>,
}

impl FleetVerifier {
    fn check_certificate(&self, certificate: &CertificateDer<'_>) -> Result<(), Error> {
        if certificate.as_ref() == self.certificate.as_ref() {
            Ok(())
        } else {
            Err(Error::General("the peer does not belong to this fleet".to_owned()))
        }
    }

    fn check_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls12_signature(message, certificate, signed, algorithms)
    }

    fn check_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signed, algorithms)
    }

    fn signature_schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }
}

/// Methods that both verifiers of the library have: signatures are checked alike on both sides.
macro_rules! verify_signatures {
    () => {
        fn verify_tls12_signature(
            &self,
            message: &[u8],
            certificate: &CertificateDer<'_>,
            signed: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, Error> {
            self.check_tls12_signature(message, certificate, signed)
        }

        fn verify_tls13_signature(
            &self,
            message: &[u8],
            certificate: &CertificateDer<'_>,
            signed: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, Error> {
            self.check_tls13_signature(message, certificate, signed)
        }

        fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
            self.signature_schemes()
        }
    };
}

impl ServerCertVerifier for FleetVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        self.check_certificate(end_entity).map(|()| ServerCertVerified::assertion())
    }

    verify_signatures!();
}

impl ClientCertVerifier for FleetVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        self.check_certificate(end_entity).map(|()| ClientCertVerified::assertion())
    }

    verify_signatures!();
}
