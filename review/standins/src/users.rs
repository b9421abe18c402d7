//! Users, who submit, query and cancel jobs at any healthy controller.

use crate::cloud::{Job, Platform};
use crate::http::{call, Reply};
use crate::json::{quote, Json};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Users {
    platform: Arc<Platform>,
    nodes: Vec<(String, String)>,
    next: AtomicUsize,
}

/// A submission. The fields of [`Job`] and those that only controllers use.
#[derive(Clone)]
pub struct Submission {
    pub id: String,
    pub lane: &'static str,
    pub crew: &'static str,
    pub rank: &'static str,
    pub guess_s: f64,
    pub builds: Option<&'static str>,
    pub yard: Option<&'static str>,
    pub together: bool,
    pub loaners: bool,
    pub job: Job,
}

impl Submission {
    pub fn body(&self) -> String {
        let job = &self.job;
        let or_null = |text: Option<&str>| text.map_or("null".into(), quote);
        let builds = self
            .builds
            .map_or("null".into(), |b| format!("[{}]", quote(b)));
        format!(
            r#"{{"uid":{},"lane":{},"crew":{},"shape":{},"rank":{},"pieces":{},"cpus":{:.3},"gpus":{:.3},"memoryGb":{:.3},"kit":{},"sizeGb":{:.3},"builds":{builds},"yard":{},"together":{},"spread":false,"loaners":{},"guessS":{:.1},"waypointS":0.0,"stashS":0.0,"dueS":null}}"#,
            quote(&self.id),
            quote(self.lane),
            quote(self.crew),
            quote(&job.shape),
            quote(self.rank),
            job.tasks,
            job.cpus,
            job.gpus,
            job.memory_gb,
            quote(&job.image),
            job.size_gb,
            or_null(self.yard),
            self.together,
            self.loaners,
            self.guess_s,
        )
    }
}

impl Users {
    pub fn new(platform: Arc<Platform>, nodes: Vec<(String, String)>) -> Arc<Users> {
        Arc::new(Users {
            platform,
            nodes,
            next: AtomicUsize::new(0),
        })
    }

    pub fn request(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
        s: f64,
    ) -> Option<Reply> {
        call(
            &self.nodes[node].1,
            method,
            path,
            body,
            Duration::from_secs_f64(s),
        )
        .ok()
    }

    /// Waits until a controller is healthy.
    pub fn wait_healthy(&self, node: usize, s: f64) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(s);
        while Instant::now() < until {
            if let Some((200, _)) = self.request(node, "GET", "/healthz", "", 1.0) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Submits a job, for up to 60 s. Returns the answer's status; 0 if none came.
    pub fn submit(&self, submission: &Submission) -> u16 {
        let uploaded = (submission.id.clone(), submission.job.clone());
        self.platform.world().jobs.insert(uploaded.0, uploaded.1);
        let until = Instant::now() + Duration::from_secs(60);
        let body = submission.body();
        while Instant::now() < until {
            let node = self.next.fetch_add(1, Ordering::SeqCst) % self.nodes.len();
            let reply = self.request(node, "POST", "/api/jobs", &body, 5.0);
            if let Some((status @ (200 | 201 | 400 | 422), reply)) = reply {
                let name = &self.nodes[node].0;
                self.platform.record.line(&format!(
                    "user: {} submitted to {name}: {status} {reply}",
                    submission.id
                ));
                return status;
            }
            thread::sleep(Duration::from_secs(1));
        }
        0
    }

    /// Cancels a job, for up to 60 s. Returns the stance of the answer.
    pub fn cancel(&self, id: &str) -> String {
        let until = Instant::now() + Duration::from_secs(60);
        while Instant::now() < until {
            let node = self.next.fetch_add(1, Ordering::SeqCst) % self.nodes.len();
            let path = format!("/api/jobs/{id}/abort");
            if let Some((200, reply)) = self.request(node, "POST", &path, "", 5.0) {
                let name = &self.nodes[node].0;
                self.platform
                    .record
                    .line(&format!("user: {id} cancelled at {name}: {reply}"));
                return Json::parse(&reply)
                    .map(|r| r.str("stance"))
                    .unwrap_or_default();
            }
            thread::sleep(Duration::from_secs(1));
        }
        String::new()
    }

    /// Asks one controller about a job: the status and the stance.
    pub fn ask(&self, node: usize, id: &str) -> (u16, String) {
        let path = format!("/api/jobs/{id}");
        match self.request(node, "GET", &path, "", 2.0) {
            Some((status, reply)) => {
                let name = &self.nodes[node].0;
                self.platform
                    .record
                    .line(&format!("user: asks {name} about {id}: {status} {reply}"));
                let stance = Json::parse(&reply).map(|r| r.str("stance"));
                (status, stance.unwrap_or_default())
            }
            None => (0, String::new()),
        }
    }
}
