//! Calls of plain services: forwarded, and charged at the pool's price per call.

use http_body_util::Full;
use swiftlink_routing::ErrorKind;

use crate::call::Work;
use crate::dispatch::{ServerResponse, open, wait_slot};
use crate::engine;
use crate::fleet::Target;
use crate::forward::{end_to_end, for_server, pass_response};
use crate::reply::{Reply, ReplySender, StreamedReply, channel};
use crate::serve::{Run, send_reply};
use crate::sink::set_charged;

/// Calls the service and forwards its answer.
///
/// The charge is stored before the head of the answer is released: once the head has arrived,
/// the call has run, and its price is fixed.
pub async fn run(mut run: Run, reply: ReplySender) {
    let Work::Service(work) = run.call.work.clone() else {
        return;
    };
    let mut slot = match wait_slot(&run.call).await {
        Ok(slot) => slot,
        Err(refusal) => return send_reply(reply, Reply::Refused(refusal)),
    };
    let Run {
        node,
        call,
        attempt,
        ..
    } = &mut run;
    let headers = for_server(&call.original.headers);
    let make = |target: &Target| {
        let method = call.original.method.clone();
        let body = call.original.body.clone();
        let mut request = engine::plain(target.address, method, &work.target, body);
        for (name, value) in &headers {
            request.headers_mut().append(name, value.clone());
        }
        engine::add_headers(request.headers_mut(), call.key(), call.class.weight);
        request.map(|body: Full<_>| body)
    };
    let opened = match open(node, call, attempt, 0, false, make).await {
        Ok(opened) => opened,
        Err(refusal) => return send_reply(reply, Reply::Refused(refusal)),
    };
    let ServerResponse { answer, mut target } = opened;
    target.first_token();
    let tokens = run.call.pool_spec.call_tokens;
    let charged = run.charge(tokens).await;
    let (response, lease) = answer.split();
    let mut headers = end_to_end(response.headers());
    set_charged(&mut headers, charged);
    let (sender, receiver) = channel();
    let deadline = run.call.deadline;
    let stream = StreamedReply {
        status: response.status(),
        headers,
        pieces: receiver,
        deadline: Some(deadline),
    };
    send_reply(reply, Reply::Stream(stream));
    if pass_response(response, target.address, lease, &sender, deadline).await {
        slot.served();
        target.done();
        run.remember(None, None, charged);
    } else if !sender.is_closed() {
        target.failed(ErrorKind::Broken);
    }
}
