//! `GET /v1/addresses`: the instances that a caller should use.

use std::sync::Arc;

use route::address::{self, Caller};
use salvo::{Request, Response};
use serde::Serialize;
use world::{Millis, domain::Domain, session};

use super::answer;
use crate::{
    parsing,
    problem::{Address, Kind, Problem},
    shared::Shared,
};

/// The response document.
#[derive(Debug, Serialize)]
struct AddressList {
    addresses: Vec<Address>,
    keep_ms: Millis,
}

pub(super) fn answer(shared: &Arc<Shared>, request: &Request, response: &mut Response) -> Result<(), Problem> {
    let customer = parsing::authenticate(&shared.catalog(), request.headers())?;
    let domain = single_query(request, "domain")?
        .map(|text| Domain::parse(&text))
        .transpose()
        .map_err(|e| malformed_query("domain", &e))?;
    let session = match single_query(request, "session")? {
        Some(text) => session_id(shared, &customer, &text)?,
        None => None,
    };
    let members = shared.links.peer.members().borrow().clone();
    let instances: Vec<_> = members.all().cloned().collect();
    let load = shared.load(&customer);
    let caller = Caller { customer: &customer, session: session.as_ref(), domain: domain.as_ref(), load };
    let list = address::list(&shared.settings.addresses, &instances, &caller);
    let list =
        AddressList { addresses: list.instances.into_iter().map(Address::from).collect(), keep_ms: list.keep_ms };
    answer::write_json(response, http::StatusCode::OK, &list);
    Ok(())
}

/// Returns the session's id, taken from a signed handle or from a name chosen by
/// the caller.
fn session_id(
    shared: &Shared,
    customer: &world::contract::Customer,
    text: &str,
) -> Result<Option<session::Id>, Problem> {
    match crate::session::parse(&shared.settings.session_keys, customer, text)? {
        crate::session::Reference::Handle { id, .. } | crate::session::Reference::CallerNamed(id) => Ok(Some(id)),
    }
}

fn single_query(request: &Request, name: &str) -> Result<Option<String>, Problem> {
    match request.queries().get_vec(name).map(Vec::as_slice) {
        None | Some([]) => Ok(None),
        Some([one]) => Ok(Some(one.clone())),
        Some(_) => Err(Problem::not_run(Kind::Malformed, format!("query `{name}`: give it once"))),
    }
}

fn malformed_query(name: &str, invalid: &world::Invalid) -> Problem {
    Problem::not_run(Kind::Malformed, format!("query `{name}`: {invalid}"))
}
