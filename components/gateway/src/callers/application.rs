//! Handler of requests to application services.

use filbertsail_config::inventory::Kind;
use filbertsail_http::Body;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::{Callers, keyed, request_body};
use crate::{
    fault::Fault,
    proxy::{self, Content, Reply, headers},
};

pub(super) async fn handle(
    callers: &Callers,
    request: Request<Incoming>,
    service: &str,
    team: String,
    id: &str,
) -> Result<Response<Body>, Fault> {
    let unknown_service =
        || Fault::not_run(StatusCode::NOT_FOUND, "unknown_service", "no such service");
    let service = callers.context.router.service(service).ok_or_else(unknown_service)?;
    if service.kind != Kind::Application {
        return Err(unknown_service());
    }
    let (head, body) = request.into_parts();
    let deadline = callers.deadline(&head.headers, service.timeout_ms);
    let prefix = "/s/".len() + service.name.len();
    let path = head.uri.path_and_query().map_or("", |path| &path.as_str()[prefix..]);
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    let mut headers = head.headers;
    headers::strip_request(&mut headers);
    let request = proxy::Request {
        request_id: id.to_owned(),
        service,
        team,
        method: head.method,
        path,
        headers,
        body: request_body::read(body).await?,
        deadline,
    };
    let key = request.headers.get(keyed::KEY_HEADER).cloned();
    match key {
        Some(key) if !proxy::is_idempotent(&request.service, &request.method, &request.path) => {
            keyed::handle(callers, request, &key).await
        }
        _ => proxy::execute(&callers.context, &request).await.map(to_response),
    }
}

fn to_response(reply: Reply) -> Response<Body> {
    let body = match reply.body {
        Content::Buffered(bytes) => Body::full(bytes),
        Content::Streamed(body) => body,
    };
    Response::from_parts(reply.head, body)
}
