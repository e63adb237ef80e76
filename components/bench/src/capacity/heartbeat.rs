//! Cost of one digest exchange over the peer link and over UDP.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::Display;
use eyre::{WrapErr, eyre};
use filbertsail_wire::{
    Frame, codec,
    frame::{Condition, Digest, Hello, Member, Role},
    link::{
        auth::Key,
        client::Client,
        meter,
        server::{Handler, Sender, serve},
    },
};
use serde::Serialize;
use tokio::{
    net::{TcpListener, UdpSocket},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use super::usage::Usage;

/// Length of the authentication code in bytes.
const MAC_BYTES: usize = 32;
/// Bytes of a datagram for replay protection: incarnation of the sender and a counter.
const SEQUENCE_BYTES: usize = 16;
/// Size of the receive buffer for a datagram in bytes.
const DATAGRAM_BYTES: usize = 64 * 1024;
/// Timeout of one exchange over UDP.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Cost of one exchange, both sides combined.
#[derive(Clone, Copy, Debug, Display, Serialize)]
#[display("{bytes:.0} bytes, {cpu_us:.1} us of CPU time, {wall_us:.1} us")]
pub struct Cost {
    /// Payload bytes over TCP or UDP.
    pub bytes: f64,
    /// CPU time in microseconds.
    pub cpu_us: f64,
    /// Elapsed time in microseconds.
    pub wall_us: f64,
}

/// Costs of exchanging the same digests over both transports.
#[derive(Clone, Copy, Debug, Display, Serialize)]
#[display("exchange over the peer link: {link}\nexchange over UDP: {udp}")]
pub struct Heartbeat {
    /// Over the peer link.
    pub link: Cost,
    /// Over UDP with the same authentication code.
    pub udp: Cost,
}

/// Measures `exchanges` exchanges over each transport.
///
/// # Errors
/// Fails if sockets cannot be opened or an exchange fails.
pub async fn run(exchanges: u32) -> eyre::Result<Heartbeat> {
    let (link, udp) = (measure_link(exchanges).await?, measure_udp(exchanges).await?);
    Ok(Heartbeat { link, udp })
}

/// Digest with the entries of sender and target, as exchanged in a fleet without changes.
fn sample_digest() -> Digest {
    let member = |name: &str| Member {
        name: name.to_owned(),
        role: Role::Gateway,
        zone: "zone-1".to_owned(),
        address: ([127, 0, 0, 1], 7_400).into(),
        incarnation: 1_700_000_000_000,
        revision: 0,
        condition: Condition::Live,
        draining: false,
        config_version: 1,
    };
    let members = vec![member("gateway-1"), member("gateway-2")];
    Digest { members, full: false, view: u64::MAX, confirmed_age_ms: Some(1_000) }
}

fn cost_since(exchanges: u32, bytes: u64, start: Instant, before: Usage) -> eyre::Result<Cost> {
    let (wall, cpu) = (start.elapsed(), Usage::read()?.cpu - before.cpu);
    let per_exchange_us = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(exchanges);
    let bytes = bytes as f64 / f64::from(exchanges);
    Ok(Cost { bytes, cpu_us: per_exchange_us(cpu), wall_us: per_exchange_us(wall) })
}

#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, _caller: Hello, _request: Frame, mut replies: Sender) {
        // The caller may have given up.
        let _ = replies.send(sample_digest()).await;
    }
}

async fn measure_link(exchanges: u32) -> eyre::Result<Cost> {
    let (key, stop) = (Key::new(vec![7; 32]), CancellationToken::new());
    let listener = TcpListener::bind("127.0.0.1:0").await.wrap_err("failed to bind a peer port")?;
    let address = listener.local_addr()?;
    tokio::spawn(serve(listener, key.clone(), Echo, stop.clone()));
    let hello = Hello {
        protocol: 1,
        name: "gateway-1".to_owned(),
        incarnation: 1,
        zone: "zone-1".to_owned(),
        address,
        sent_at_ms: 0,
        nonce: [0; 16],
    };
    let client = Client::new(address, &key, &hello).wrap_err("failed to open a peer link")?;
    client.call_unary(&sample_digest().into()).await.wrap_err("failed to open a peer link")?;
    let (before, sent, start) = (Usage::read()?, meter::total_bytes().0, Instant::now());
    for _ in 0..exchanges {
        client
            .call_unary(&sample_digest().into())
            .await
            .wrap_err("failed to exchange digests over the peer link")?;
    }
    let result = cost_since(exchanges, meter::total_bytes().0 - sent, start, before);
    stop.cancel();
    result
}

fn sign_datagram(key: &Key, number: u64) -> eyre::Result<Vec<u8>> {
    let mut bytes = codec::encode(&sample_digest().into())?.to_vec();
    bytes.extend_from_slice(&[0; SEQUENCE_BYTES / 2]);
    bytes.extend_from_slice(&number.to_be_bytes());
    let code = key.sign(&bytes);
    bytes.extend_from_slice(&code);
    Ok(bytes)
}

fn verify_datagram(key: &Key, bytes: &[u8]) -> eyre::Result<Frame> {
    let split = bytes
        .len()
        .checked_sub(MAC_BYTES)
        .ok_or_else(|| eyre!("datagram is shorter than its authentication code"))?;
    let (body, code) = bytes.split_at(split);
    if !key.verify(body, code) {
        return Err(eyre!("datagram has an invalid authentication code"));
    }
    let frame = codec::decode(&mut bytes::BytesMut::from(body))?;
    frame.ok_or_else(|| eyre!("datagram contains no complete frame"))
}

async fn respond(socket: UdpSocket, key: Key) -> eyre::Result<()> {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    for number in 0.. {
        let (length, peer) = socket.recv_from(&mut buffer).await?;
        verify_datagram(&key, &buffer[..length])?;
        socket.send_to(&sign_datagram(&key, number)?, peer).await?;
    }
    Ok(())
}

async fn measure_udp(exchanges: u32) -> eyre::Result<Cost> {
    let key = Key::new(vec![7; 32]);
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let (server, client) = (UdpSocket::bind(local).await?, UdpSocket::bind(local).await?);
    client.connect(server.local_addr()?).await?;
    let server = tokio::spawn(respond(server, key.clone()));
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let (before, start, mut sent) = (Usage::read()?, Instant::now(), 0);
    for number in 0..u64::from(exchanges) {
        let request = sign_datagram(&key, number)?;
        client.send(&request).await?;
        let length = timeout(EXCHANGE_TIMEOUT, client.recv(&mut buffer))
            .await
            .wrap_err("no response to a datagram in time")??;
        verify_datagram(&key, &buffer[..length])?;
        sent += (request.len() + length) as u64;
    }
    let result = cost_since(exchanges, sent, start, before);
    server.abort();
    result
}
