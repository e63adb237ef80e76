//! TLS for servers and clients, with certificates and keys from PEM files.

use std::{io, path::Path, sync::Arc};

use derive_more::{Debug, Display, Error};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    crypto::{CryptoProvider, ring},
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, server::TlsStream};

/// Unusable certificate or key file.
#[derive(Clone, Debug, Display, Error)]
#[display("{file}: {problem}")]
pub struct Error {
    /// Path of the file.
    pub file: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Server side of TLS, cheap to clone.
#[derive(Clone, Debug)]
pub struct Acceptor {
    #[debug(skip)]
    acceptor: TlsAcceptor,
}

impl Acceptor {
    /// Acceptor with a PEM certificate chain and private key.
    ///
    /// # Errors
    /// Fails if a file cannot be read or the key does not match the certificate.
    pub fn load(cert: &Path, key: &Path) -> Result<Self, Error> {
        let chain = certificates(cert)?;
        let private_key =
            PrivateKeyDer::from_pem_file(key).map_err(|error| file_error(key, &error))?;
        let mut config = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()
            .map_err(|error| file_error(cert, &error))?
            .with_no_client_auth()
            .with_single_cert(chain, private_key)
            .map_err(|error| file_error(key, &error))?;
        config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
        Ok(Self { acceptor: TlsAcceptor::from(Arc::new(config)) })
    }

    /// Acceptor for an optional certificate and key; `None` if neither is given.
    ///
    /// # Errors
    /// Fails like [`Acceptor::load`], and if only one of the two files is given.
    pub fn load_optional(cert: Option<&Path>, key: Option<&Path>) -> Result<Option<Self>, Error> {
        match (cert, key) {
            (None, None) => Ok(None),
            (Some(cert), Some(key)) => Self::load(cert, key).map(Some),
            (Some(file), None) | (None, Some(file)) => {
                Err(file_error(file, &"TLS needs both a certificate and a key file"))
            }
        }
    }

    pub(crate) async fn accept(&self, stream: TcpStream) -> io::Result<TlsStream<TcpStream>> {
        self.acceptor.accept(stream).await
    }
}

/// Client configuration that trusts the certificates of a PEM file.
///
/// # Errors
/// Fails if the file cannot be read or contains no certificate.
pub fn client_config(file: &Path) -> Result<ClientConfig, Error> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(file)? {
        roots.add(certificate).map_err(|error| file_error(file, &error))?;
    }
    client_config_with_roots(roots).map_err(|error| file_error(file, &error))
}

/// Client configuration that trusts only `roots`.
pub(crate) fn client_config_with_roots(
    roots: RootCertStore,
) -> Result<ClientConfig, rustls::Error> {
    let builder = ClientConfig::builder_with_provider(provider());
    let builder = builder.with_safe_default_protocol_versions()?;
    Ok(builder.with_root_certificates(roots).with_no_client_auth())
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let chain: Result<Vec<_>, _> =
        CertificateDer::pem_file_iter(file).map_err(|error| file_error(file, &error))?.collect();
    let chain = chain.map_err(|error| file_error(file, &error))?;
    if chain.is_empty() {
        return Err(file_error(file, &"no PEM certificate found"));
    }
    Ok(chain)
}

fn file_error(file: &Path, problem: &impl ToString) -> Error {
    Error { file: file.display().to_string(), problem: problem.to_string() }
}
