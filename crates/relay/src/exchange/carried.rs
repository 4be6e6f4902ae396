//! The admission of a request that another instance goes on with.
//!
//! A request that may have run stays with the catalog that admitted it, also where another instance
//! sends it on: that one's catalog may be newer, or older, and could only break the request off. So the
//! forwarded request carries what the other instance needs of that catalog. Only instances know the
//! address that takes it, which also serves the whole catalog with its keys.

use std::{fmt::Write, sync::Arc};

use http::{HeaderMap, HeaderName};
use route::relay::ladder::Urgency;
use serde::{Deserialize, Serialize};

use super::admit::Admission;
use crate::{
    catalog::{
        Route, Target,
        wire::{CustomerCopy, RouteCopy},
    },
    request_params,
};

/// Header of a forwarded request with its admission, as hexadecimal digits.
const ADMISSION: HeaderName = HeaderName::from_static("relay-admission");

/// Serialized form of an [`Admission`].
#[derive(Debug, Serialize, Deserialize)]
struct Carried {
    /// The route, with the request's service as its only target.
    route: RouteCopy,
    customer: Option<CustomerCopy>,
    urgency: UrgencyCopy,
    version: u64,
}

/// Serialized form of [`Urgency`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum UrgencyCopy {
    First,
    Usual,
    Last,
}

/// Adds the admission of a request to a service to the headers of the forwarded request.
pub(super) fn insert(headers: &mut HeaderMap, admission: &Admission, service: &str) {
    let targets = vec![Target { service: service.to_owned(), weight: 1 }];
    let carried = Carried {
        route: RouteCopy::from(&Route { targets, ..Route::clone(&admission.route) }),
        customer: admission.customer.as_deref().map(CustomerCopy::from),
        urgency: match admission.urgency {
            Urgency::First => UrgencyCopy::First,
            Urgency::Usual => UrgencyCopy::Usual,
            Urgency::Last => UrgencyCopy::Last,
        },
        version: admission.version,
    };
    let Ok(bytes) = postcard::to_allocvec(&carried) else { return };
    let mut digits = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(digits, "{byte:02x}").expect("writing to a string does not fail");
    }
    headers.insert(ADMISSION, request_params::value(&digits));
}

/// Removes the admission from the headers of a forwarded request and returns it; `None` if it carries
/// none that can be read, so that the request has to be checked here.
pub(super) fn take(headers: &mut HeaderMap) -> Option<Admission> {
    let value = headers.remove(ADMISSION)?;
    let digits = value.as_bytes().chunks_exact(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let bytes: Vec<u8> = digits.map(byte).collect::<Option<_>>()?;
    let Carried { route, customer, urgency, version } = postcard::from_bytes(&bytes).ok()?;
    Some(Admission {
        route: Arc::new(route.into()),
        customer: customer.map(|customer| Arc::new(customer.into())),
        urgency: match urgency {
            UrgencyCopy::First => Urgency::First,
            UrgencyCopy::Usual => Urgency::Usual,
            UrgencyCopy::Last => Urgency::Last,
        },
        version,
        is_carried: true,
    })
}
