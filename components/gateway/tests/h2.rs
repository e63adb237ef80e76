//! Verdicts with HTTP/2 backend servers.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use common::{Gateway, inventory, verdict};
use h2::{
    Reason,
    server::{self, Connection, SendResponse},
};
use http::{Method, Request, Response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const OPTIONS: &str = "reports_load = false\nhttp2 = true";

/// Behaviour of a backend server.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Answer,
    /// Refuses the first stream of each connection.
    RefuseFirst,
    /// Refuses every stream.
    RefuseAll,
    /// Resets each stream after receiving it.
    Reset,
    /// Ends the first connection with a GOAWAY that excludes its stream.
    GoAway,
    /// Closes the connection after receiving a stream.
    Break,
}

async fn start_server(behaviour: Behaviour) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let run_count = Arc::new(AtomicUsize::new(0));
    let count = run_count.clone();
    tokio::spawn(async move {
        for number in 0.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            tokio::spawn(serve(stream, behaviour, number, count.clone()));
        }
    });
    (address, run_count)
}

/// Reads up to the first HEADERS frame and sends a GOAWAY with last stream 0.
async fn send_excluding_goaway(mut stream: TcpStream) {
    const PREFACE_BYTES: usize = 24;
    const HEADERS: u8 = 1;
    const SETTINGS_FRAME: [u8; 9] = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    const GOAWAY_FRAME: [u8; 17] = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    stream.write_all(&SETTINGS_FRAME).await.expect("open");
    stream.read_exact(&mut [0; PREFACE_BYTES]).await.expect("preface");
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await.expect("frame");
        let length = usize::from(head[1]) * 256 + usize::from(head[2]);
        stream.read_exact(&mut vec![0; length]).await.expect("payload");
        if head[3] == HEADERS {
            break;
        }
    }
    stream.write_all(&GOAWAY_FRAME).await.expect("open");
    // The peer closes the connection.
    let _ = stream.read_to_end(&mut Vec::new()).await;
}

async fn serve(
    stream: TcpStream,
    behaviour: Behaviour,
    number: usize,
    run_count: Arc<AtomicUsize>,
) {
    if let (Behaviour::GoAway, 0) = (behaviour, number) {
        return send_excluding_goaway(stream).await;
    }
    let Ok(mut connection): Result<Connection<TcpStream, Bytes>, _> =
        server::handshake(stream).await
    else {
        return;
    };
    let mut streams = 0;
    while let Some(Ok((request, mut response))) = connection.accept().await {
        streams += 1;
        match behaviour {
            Behaviour::RefuseAll => response.send_reset(Reason::REFUSED_STREAM),
            Behaviour::RefuseFirst if streams == 1 => response.send_reset(Reason::REFUSED_STREAM),
            Behaviour::Reset => {
                run_count.fetch_add(1, Ordering::SeqCst);
                response.send_reset(Reason::INTERNAL_ERROR);
            }
            Behaviour::Break => {
                run_count.fetch_add(1, Ordering::SeqCst);
                return;
            }
            _ => {
                run_count.fetch_add(1, Ordering::SeqCst);
                respond(&request, &mut response);
            }
        }
    }
}

fn respond(request: &Request<h2::RecvStream>, response: &mut SendResponse<Bytes>) {
    let id = request.headers()["filbertsail-request-id"].clone();
    let head = Response::builder().header("filbertsail-request-id", id).body(()).expect("head");
    let mut stream = response.send_response(head, false).expect("open");
    stream.send_data("done".into(), true).expect("open");
}

/// Guards against reporting a possible run for streams that HTTP/2 marks as unprocessed.
#[tokio::test]
async fn can_retry_refused_or_excluded_streams() {
    for behaviour in [Behaviour::Answer, Behaviour::RefuseFirst, Behaviour::GoAway] {
        let (address, run_count) = start_server(behaviour).await;
        let gateway = Gateway::start(inventory("application", OPTIONS, &[address])).await;
        for turn in 0..3 {
            let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
            let text = String::from_utf8_lossy(response.body()).into_owned();
            assert_eq!((response.status().as_u16(), &*text), (200, "done"), "{behaviour:?} {turn}");
        }
        assert_eq!(run_count.load(Ordering::SeqCst), 3, "{behaviour:?}");
    }
}

/// Guards against reporting a run for a refused stream once no attempt is left.
#[tokio::test]
async fn can_prove_that_a_refused_stream_did_not_run() {
    let (address, run_count) = start_server(Behaviour::RefuseAll).await;
    let gateway = Gateway::start(inventory("application", OPTIONS, &[address])).await;
    let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
    assert_eq!((response.status().as_u16(), &*verdict(&response)), (503, "not_run"));
    assert_eq!(run_count.load(Ordering::SeqCst), 0);
}

/// Guards against a second run after the stream or connection of the first one broke.
#[tokio::test]
async fn can_refrain_from_retrying_a_reset_stream() {
    for behaviour in [Behaviour::Reset, Behaviour::Break] {
        let (address, run_count) = start_server(behaviour).await;
        let gateway = Gateway::start(inventory("application", OPTIONS, &[address])).await;
        let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
        assert_eq!(response.status(), 502, "{behaviour:?}");
        assert_eq!(verdict(&response), "may_have_run", "{behaviour:?}");
        assert_eq!(run_count.load(Ordering::SeqCst), 1, "{behaviour:?}");
    }
}
