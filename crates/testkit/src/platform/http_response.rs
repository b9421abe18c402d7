//! HTTP responses of the simulated services and of controllers.

use rushwalk_clients::http::TransportResponse;
use serde::Serialize;

/// An HTTP response of the store, the cloud, a worker or a controller.
#[derive(Debug)]
pub struct HttpResponse {
    /// The HTTP status code, such as 200.
    pub status: u16,
    /// The complete body; empty for a response without a body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// A response without a body.
    pub(super) fn empty(status: u16) -> HttpResponse {
        HttpResponse {
            status,
            body: Vec::new(),
        }
    }

    /// A response with a JSON body.
    pub(super) fn json(status: u16, body: &impl Serialize) -> HttpResponse {
        HttpResponse {
            status,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }
}

impl From<HttpResponse> for TransportResponse {
    fn from(response: HttpResponse) -> TransportResponse {
        TransportResponse {
            status: response.status,
            body: response.body,
        }
    }
}
