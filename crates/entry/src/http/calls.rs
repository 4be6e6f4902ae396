//! Chat requests, calls of plain services, and queries for a request's outcome.

use std::sync::Arc;

use http::{HeaderMap, HeaderName, StatusCode, header};
use salvo::{Request as Http, Response};
use serde::Serialize;
use timeline::{Ran, Step};
use tokio::time::Instant;
use world::{
    Catalog,
    contract::Contract,
    request::{self, Outcome, Repeat},
    service,
};

use super::{answer, read};
use crate::{
    answers::Lookup,
    buffer::{Buffer, Reader},
    clock,
    driver::Driver,
    parsing::{self, Chat, Terms},
    problem::{Kind, Problem},
    request::{Request, ServiceCall, Work},
    session,
    shared::Shared,
};

/// Request headers that are forwarded to a plain service.
const FORWARDED_HEADERS: [HeaderName; 4] =
    [header::CONTENT_TYPE, header::ACCEPT, header::ACCEPT_LANGUAGE, header::CONTENT_LANGUAGE];
/// Maximum time to wait for the journal's record of a request.
const OUTCOME_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);
/// Retry delay for an outcome that could not be read, in milliseconds.
const OUTCOME_RETRY_MS: u64 = 500;

pub(super) async fn chat(shared: &Arc<Shared>, http: &mut Http, response: &mut Response) -> Result<(), Problem> {
    let catalog = shared.catalog();
    let terms = terms(&catalog, http.headers())?;
    let (key, repeat) = (terms.id.key.clone(), terms.repeat());
    let body = match body(shared, http).await {
        Ok(body) => body,
        Err(problem) => return Err(shared.correct_ran(problem, &terms, repeat).await),
    };
    let chat = Chat::parse(&body)?;
    let stream = chat.stream;
    let checked = contract(&catalog, &terms).and_then(|contract| {
        check_model(&catalog, contract, &chat)?;
        Ok((contract, session(shared, &terms)?))
    });
    let (contract, session) = match checked {
        Ok(checked) => checked,
        Err(problem) => return Err(shared.correct_ran(problem, &terms, repeat).await),
    };
    let request = Request::new(terms, repeat, Work::Chat(chat), session, contract);
    let reader = start(shared, request, contract).await.map_err(|problem| problem.with_request(&key))?;
    answer::write(response, reader, stream).await
}

pub(super) async fn service(shared: &Arc<Shared>, http: &mut Http, response: &mut Response) -> Result<(), Problem> {
    let catalog = shared.catalog();
    let terms = terms(&catalog, http.headers())?;
    let key = terms.id.key.clone();
    let (name, path) = service_path(http)?;
    let id = service::Id::parse(&name)
        .map_err(|invalid| Problem::not_run(Kind::UnknownService, format!("service: {invalid}")))?;
    let checked = contract(&catalog, &terms).and_then(|contract| {
        let unknown = || Problem::not_run(Kind::UnknownService, format!("no service `{id}`"));
        let spec = catalog.service(&id).ok_or_else(unknown)?;
        if !contract.services.contains(&id) {
            return Err(Problem::not_run(Kind::ServiceNotAllowed, format!("service `{id}`")));
        }
        Ok((contract, spec, session(shared, &terms)?))
    });
    let (contract, spec, session) = match checked {
        Ok(checked) => checked,
        Err(problem) => return Err(shared.correct_ran(problem, &terms, terms.repeat()).await),
    };
    let path_without_query = path.split('?').next().unwrap_or_default();
    let repeat =
        if spec.repeatable(http.method().as_str(), path_without_query) { terms.repeat() } else { Repeat::Never };
    let method = http.method().clone();
    let headers = parsing::select_headers(http.headers(), &FORWARDED_HEADERS);
    let body = match body(shared, http).await {
        Ok(body) => body,
        Err(problem) => return Err(shared.correct_ran(problem, &terms, repeat).await),
    };
    let call = ServiceCall { service: id, method, path, headers, body };
    let request = Request::new(terms, repeat, Work::Call(call), session, contract);
    let reader = start(shared, request, contract).await.map_err(|problem| problem.with_request(&key))?;
    answer::write(response, reader, false).await
}

/// Outcome of a request as sent to its customer.
#[derive(Debug, Serialize)]
struct OutcomeDocument<'a> {
    request: &'a request::Key,
    outcome: Outcome,
}

pub(super) async fn outcome(shared: &Arc<Shared>, http: &mut Http, response: &mut Response) -> Result<(), Problem> {
    let customer = parsing::authenticate(&shared.catalog(), http.headers())?;
    let text: String = http.param("key").unwrap_or_default();
    let unknown = || Problem::new(Kind::UnknownRequest, Ran::Unknown, "no record of it under this customer");
    let key = request::Key::parse(&text).map_err(|_| unknown())?;
    // The customer is part of the request's id, so other customers' requests are not
    // found.
    let id = request::Id { customer, key };
    let outcome = if shared.answers.is_running(&id) {
        Some(Outcome::Running)
    } else {
        shared.links.journal.outcome(&id, Instant::now() + OUTCOME_TIMEOUT).await.map_err(|error| {
            let problem = Problem::new(Kind::PlatformDown, Ran::Unknown, error.to_string());
            problem.with_retry_after(OUTCOME_RETRY_MS).with_request(&id.key)
        })?
    };
    let outcome = outcome.ok_or_else(unknown)?;
    answer::write_json(response, StatusCode::OK, &OutcomeDocument { request: &id.key, outcome });
    Ok(())
}

fn terms(catalog: &Catalog, headers: &HeaderMap) -> Result<Terms, Problem> {
    let customer = parsing::authenticate(catalog, headers)?;
    parsing::parse_terms(customer, headers, clock::now())
}

fn contract<'a>(catalog: &'a Catalog, terms: &Terms) -> Result<&'a Contract, Problem> {
    let gone = || Problem::not_run(Kind::WrongKey, "the contract is gone");
    catalog.contract(&terms.customer).ok_or_else(gone)
}

async fn body(shared: &Shared, http: &mut Http) -> Result<bytes::Bytes, Problem> {
    read::body(http, shared.settings.max_body, shared.settings.body_timeout).await
}

fn check_model(catalog: &Catalog, contract: &Contract, chat: &Chat) -> Result<(), Problem> {
    if catalog.model(&chat.model).is_none() {
        return Err(Problem::not_run(Kind::UnknownModel, format!("no model `{}`", chat.model)));
    }
    if !contract.models.iter().any(|allowed| allowed.model == chat.model) {
        return Err(Problem::not_run(Kind::ModelNotAllowed, format!("model `{}`", chat.model)));
    }
    Ok(())
}

/// Returns the session that a call names, if any.
fn session(shared: &Shared, terms: &Terms) -> Result<Option<session::Reference>, Problem> {
    let parse = |text: &String| session::parse(&shared.settings.session_keys, &terms.customer, text);
    terms.session.as_ref().map(parse).transpose()
}

/// Starts a request, or joins it if it is already running on this instance.
async fn start(shared: &Arc<Shared>, request: Request, contract: &Contract) -> Result<Reader, Problem> {
    if !request.terms.has_caller_key {
        shared.may_start(request.customer(), contract)?;
        let buffer = Buffer::new();
        let reader = buffer.reader();
        spawn(shared, request, buffer);
        return Ok(reader);
    }
    match shared.answers.find_or_create(request.id(), request.fingerprint()) {
        Lookup::Same(reader) => {
            shared.record_step(request.id(), Step::Joined { home: shared.settings.instance.clone() });
            Ok(reader)
        }
        Lookup::OtherRequest => Err(Problem::not_run(Kind::KeyReused, "the key came with another body before")),
        Lookup::New(buffer, reader) => {
            if let Err(problem) = shared.may_start(request.customer(), contract) {
                shared.answers.remove(request.id(), &buffer);
                return Err(shared.correct_ran(problem, &request.terms, request.repeat).await);
            }
            spawn(shared, request, buffer);
            Ok(reader)
        }
    }
}

fn spawn(shared: &Arc<Shared>, request: Request, buffer: Buffer) {
    let (model, service) = match &request.work {
        Work::Chat(chat) => (Some(chat.model.clone()), None),
        Work::Call(call) => (None, Some(call.service.clone())),
    };
    let session = request.session.as_ref().and(request.session_id());
    shared.record_step(request.id(), Step::Received { model, service, repeat: request.repeat, session });
    tokio::spawn(Driver::new(shared.clone(), request, buffer).drive());
}

/// Returns the service's name, and the path with its query.
fn service_path(http: &Http) -> Result<(String, String), Problem> {
    let target = http.uri().path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    let rest = target.strip_prefix("/v1/services/").unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    // A path that is not normalized could name a call under another spelling. A call
    // that must not be repeated would then be treated as repeatable.
    let has_unsafe_segment = path.split(['/', '?']).any(|part| part == ".." || part == "." || part.contains('%'));
    let has_double_slash = path.split('?').next().is_some_and(|path| path.contains("//"));
    if has_unsafe_segment || has_double_slash {
        return Err(Problem::not_run(Kind::Malformed, "the path must be plain: no `..`, `.`, `//` or `%` escapes"));
    }
    Ok((name.to_owned(), path))
}
