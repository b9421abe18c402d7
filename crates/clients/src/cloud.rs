//! The cloud's client.

use crate::http::{Error, Http, body};
use hyper::Method;
use rushwalk_wire::cloud::{MachineList, MachineNames, MachineTypes, RentRequest};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone)]
pub struct Cloud {
    http: Http,
    address: SocketAddr,
}

const PATIENCE: Duration = Duration::from_secs(5);

impl Cloud {
    pub fn new(http: Http, address: SocketAddr) -> Self {
        Cloud { http, address }
    }

    pub async fn types(&self) -> Result<MachineTypes, Error> {
        self.call(Method::GET, "/machine_types", Vec::new()).await
    }

    pub async fn rent(&self, request: &RentRequest) -> Result<MachineNames, Error> {
        self.call(Method::POST, "/rentals", body(request)).await
    }

    /// When this returns Ok, the machines and all on them are gone.
    pub async fn delete(&self, machines: Vec<String>) -> Result<(), Error> {
        let names = body(&MachineNames { machines });
        let call = self.http.call(
            self.address,
            Method::POST,
            "/rentals/delete",
            names,
            PATIENCE,
        );
        match call.await? {
            (status, _) if status == 200 => Ok(()),
            (status, _) => Err(Error::Status(status.as_u16())),
        }
    }

    pub async fn list(&self, since: &str) -> Result<MachineList, Error> {
        let path = format!("/rentals?since={since}&limit=500");
        self.call(Method::GET, &path, Vec::new()).await
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Error> {
        self.http
            .json(self.address, method, path, body, PATIENCE)
            .await
    }
}
