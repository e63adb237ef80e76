//! Handler of the peer port: samples, weight orders and worker queries of controllers.

use std::time::Duration;

use bytes::Bytes;
use filbertsail_api::engine;
use filbertsail_config::inventory::{Class, Kind};
use filbertsail_errors::{REQUEST_ID_HEADER, Verdict};
use filbertsail_wire::{
    Frame,
    frame::{Dispatch, Finish, Hello, Label, Order, Outcome, Survey, Token, Workers},
    link::server::{Handler, Sender},
};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use tokio::{sync::mpsc, time};

use crate::{
    backend::{Call, Failure, Kind as FailureKind, body},
    context::Context,
    fault::Fault,
    generate::{self, Item, Request, to_fault},
    ports::Agent,
    readiness::Readiness,
};

/// Tokens queued while the link's flow control blocks.
const TOKEN_QUEUE_CAPACITY: usize = 64;
/// Timeout for an engine to acknowledge an order. It swaps weights only after responding.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Handler of the peer port.
#[derive(Clone)]
pub struct Peers {
    pub context: Context,
    pub readiness: Readiness,
    /// Cluster agent, which handles membership and configuration frames.
    pub agent: Agent,
}

impl Handler for Peers {
    async fn handle(&self, _caller: Hello, request: Frame, mut replies: Sender) {
        let reply: Frame = match request {
            Frame::Dispatch(dispatch) => return self.dispatch(dispatch, replies).await,
            Frame::Order(order) => match self.order(order).await {
                Ok(outcome) => outcome.into(),
                Err(fault) => fault.frame().into(),
            },
            Frame::Survey(Survey { service }) => {
                Workers { workers: self.context.router.worker_states(&service).await }.into()
            }
            Frame::Digest(_) | Frame::Hint(_) | Frame::Pull(_) => self.agent.answer(request).await,
            _ => Fault::not_run(StatusCode::NOT_FOUND, "unknown_call", "not for a gateway")
                .frame()
                .into(),
        };
        // Fails if the caller has disconnected.
        let _ = replies.send(reply).await;
    }
}

impl Peers {
    async fn dispatch(&self, dispatch: Dispatch, mut replies: Sender) {
        let request = match self.completion_request(dispatch) {
            Ok(request) => request,
            Err(fault) => {
                let _ = replies.send(fault.frame()).await;
                return;
            }
        };
        let (sink, mut items) = mpsc::channel(TOKEN_QUEUE_CAPACITY);
        let forward = async {
            while let Some(item) = items.recv().await {
                match &item {
                    Item::Token(_) => {}
                    Item::Complete(_) => self.context.metrics.count_sample("whole"),
                    Item::Fault(_) => self.context.metrics.count_sample("fault"),
                }
                if replies.send(to_frame(item)).await.is_err() {
                    return;
                }
            }
        };
        tokio::join!(generate::run(&self.context, &request, sink), forward);
    }

    fn completion_request(&self, dispatch: Dispatch) -> Result<Request, Fault> {
        self.readiness.check_admission()?;
        let service = self.context.router.service(&dispatch.service);
        let service = service.filter(|service| service.kind == Kind::Model).ok_or_else(|| {
            Fault::not_run(StatusCode::NOT_FOUND, "unknown_service", "no such model")
        })?;
        Ok(Request {
            request_id: dispatch.request_id,
            service,
            class: Class::Rollout,
            team: dispatch.team,
            prompt: dispatch.prompt,
            max_tokens: dispatch.max_tokens,
            priority: dispatch.priority,
            min_version: dispatch.min_version,
            exclude: dispatch.avoid,
            deadline: self.context.now().after(Duration::from_millis(dispatch.deadline_ms)),
            streams: true,
        })
    }

    async fn order(&self, order: Order) -> Result<Outcome, Fault> {
        let targets = self.context.router.targets();
        let target = {
            let targets = targets.borrow();
            let target = targets.iter().find(|it| it.name == order.worker);
            target.map(|it| (it.server.clone(), it.service.checks_fence))
        };
        let (server, checks_fence) = target.ok_or_else(|| {
            Fault::not_run(StatusCode::NOT_FOUND, "unknown_worker", "no such worker")
        })?;
        // A lease holder that was paused before sending the order may not know that it was
        // replaced.
        let fence_check = self.agent.fence().check(&order.scope, order.epoch, checks_fence).await;
        fence_check.map_err(|refusal| {
            Fault::not_run(StatusCode::CONFLICT, "old_order", refusal.to_string())
        })?;
        let limit = ORDER_TIMEOUT.min(Duration::from_millis(order.life_ms));
        let call =
            build_order_call(&self.context.request_id(), &order).map_err(|it| to_fault(&it))?;
        let exchange = async {
            let response = server.send(&call).await?;
            let (head, received) = body::read(response).await?;
            decode_outcome(head.status, received)
        };
        time::timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| {
                Err(Failure::may_have_run(FailureKind::TimedOut, "no answer in time"))
            })
            .map_err(|failure| to_fault(&failure))
    }
}

fn build_order_call(id: &str, order: &Order) -> Result<Call, Failure> {
    let malformed = |message: String| Failure::not_run(FailureKind::Malformed, message);
    let body = engine::Order {
        epoch: order.epoch,
        id: order.id.clone(),
        life_ms: order.life_ms,
        load_version: order.load_version,
        scope: order.scope.clone(),
    };
    let body = serde_json::to_vec(&body).map_err(|error| malformed(error.to_string()))?;
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let id = HeaderValue::from_str(id).map_err(|error| malformed(error.to_string()))?;
    headers.insert(REQUEST_ID_HEADER, id);
    let path = "/v1/orders".to_owned();
    // Orders state the desired weight version, so repeating one is safe.
    Ok(Call {
        method: Method::POST,
        path,
        headers,
        body: Bytes::from(body),
        idempotent: true,
        time_left: ORDER_TIMEOUT,
    })
}

/// Decodes the outcome of an order, which an engine also sends with an error status.
fn decode_outcome(status: StatusCode, received: body::Received) -> Result<Outcome, Failure> {
    let body::Received::Buffered(bytes) = received else {
        return Err(Failure::may_have_run(FailureKind::Mismatched, "answer too large"));
    };
    let parsed: Result<engine::Outcome, _> = serde_json::from_slice(&bytes);
    match parsed {
        Ok(it) => Ok(Outcome {
            accepted: it.accepted && status.is_success(),
            weight_version: it.weight_version,
            epoch: it.epoch,
        }),
        Err(_) if status.is_client_error() => Err(Failure::new(
            FailureKind::Refused,
            Verdict::NotRun,
            format!("engine answered {status}"),
        )),
        Err(error) => Err(Failure::may_have_run(
            FailureKind::Status,
            format!("engine answered {status}: {error}"),
        )),
    }
}

fn to_frame(item: Item) -> Frame {
    match item {
        Item::Token(event) => {
            Token { index: event.index, text: event.text, weight_version: event.weight_version }
                .into()
        }
        Item::Complete(output) => Finish {
            worker: output.worker,
            tokens: output.tokens,
            labels: output
                .labels
                .iter()
                .map(|label| Label { version: label.version, from: label.from, to: label.to })
                .collect(),
            text: output.text,
        }
        .into(),
        Item::Fault(fault) => fault.frame().into(),
    }
}
