use super::*;

fn spec(job: &str) -> JobSpec {
    let spec = r#"{"uid":"j-1","lane":"a","crew":"red","shape":"sweep","rank":"normal",
        "pieces":2,"cpus":1,"gpus":6,"memoryGb":1,"kit":"i","sizeGb":1,"together":false,
        "spread":false,"loaners":false,"guessS":60,"waypointS":0,"stashS":0}"#;
    JobSpec::parse(spec.replace("j-1", job).as_bytes()).unwrap()
}

fn new_checker() -> InvariantChecker {
    let mut checker = InvariantChecker {
        cancellation_deadline: Duration::from_secs(60),
        ..InvariantChecker::default()
    };
    checker.jobs.insert("j-1".into(), spec("j-1"));
    let gpus = TeamLimit {
        gpus: 10.0,
        ..TeamLimit::default()
    };
    checker.limits.insert("red".into(), gpus);
    checker
}

fn placement<'a>(machine: &'a str, zone: &'a str) -> Placement<'a> {
    Placement {
        machine,
        zone,
        machine_type: "box",
        spot: false,
    }
}

impl InvariantChecker {
    /// Records a query and, at the same instant, the response to it.
    fn query(&mut self, job: &str, status: Option<u16>, phase: Option<StatusPhase>) {
        let sent = self.request_sent(Request::Query, job);
        self.response_received(Request::Query, job, sent, status, phase);
    }

    /// Records a submission and, at the same instant, the response to it.
    fn submit(&mut self, job: &str, status: u16) {
        let queued = Some(StatusPhase::Queued).filter(|_| status < 300);
        let sent = self.request_sent(Request::Submit, job);
        self.response_received(Request::Submit, job, sent, Some(status), queued);
    }
}

/// Names of the invariants violated so far, in the order of the violations.
fn violated(checker: &InvariantChecker) -> Vec<String> {
    let name = |line: &String| line.split(':').next().unwrap_or("").to_string();
    checker.violations.iter().map(name).collect()
}

async fn advance(ms: u64) {
    tokio::time::advance(Duration::from_millis(ms)).await;
}

#[tokio::test(start_paused = true)]
async fn each_violated_invariant_is_reported() {
    let mut checker = new_checker();
    checker.submit("j-1", 201);
    checker.query("j-1", Some(200), Some(StatusPhase::Queued));
    checker.task_started("j-1", 0, &placement("m-1", "east"));
    assert!(checker.violations.is_empty());
    checker.task_started("j-1", 0, &placement("m-2", "east"));
    checker.task_started("j-1", 1, &placement("m-3", "east"));
    assert_eq!(violated(&checker), ["ran_twice", "quota"]);
    checker.query("j-1", Some(200), Some(StatusPhase::Done));
    checker.query("j-1", Some(200), Some(StatusPhase::Running));
    checker.query("j-2", Some(200), Some(StatusPhase::Queued));
    checker.query("j-1", Some(404), None);
    checker.submit("j-1", 422);
    assert_eq!(
        violated(&checker)[2..],
        [
            "not_done",
            "went_back",
            "invented",
            "forgotten",
            "forgotten"
        ]
    );
    checker.violations.clear();
    checker.query("j-1", Some(200), Some(StatusPhase::Cancelled));
    assert_eq!(
        violated(&checker),
        ["went_back", "went_back"],
        "the cancellation was not requested, and the job was reported as done before"
    );
    checker.violations.clear();
    advance(59_000).await;
    checker.check_cancellations();
    assert!(checker.violations.is_empty());
    advance(2_000).await;
    checker.check_cancellations();
    assert_eq!(violated(&checker)[0], "ran_cancelled");
    checker.task_ended("j-1", 0, "m-1", false);
    assert_eq!(checker.longest_cancellation.as_secs(), 61);
    checker.violations.clear();
    for wait_s in [0, 80, 11] {
        advance(wait_s * 1000).await;
        checker.query("j-1", Some(503), None);
    }
    assert!(checker.violations.is_empty(), "no query was answered");
    for _ in 0..5 {
        checker.query("j-9", Some(404), None);
    }
    checker.query("j-1", None, None);
    assert_eq!(
        violated(&checker),
        ["forgotten"],
        "most queries about other jobs were answered"
    );
    checker.violations.clear();
    checker.faults_ended_at = Some(Instant::now());
    for wait_s in [74, 2] {
        assert!(checker.violations.is_empty());
        advance(wait_s * 1000).await;
        checker.queries.recent.clear();
        checker.query("j-1", Some(503), None);
    }
    assert_eq!(
        violated(&checker),
        ["forgotten"],
        "unanswered for too long after the end of all faults"
    );
}

/// A request sent after a response arrived must not get an older state than that response
/// showed; a request that was already in flight may.
#[tokio::test(start_paused = true)]
async fn stale_responses_are_distinguished_from_responses_to_overlapping_requests() {
    use Request::{Cancel, Query, Submit};
    let mut checker = new_checker();
    let before_acceptance = checker.request_sent(Query, "j-1");
    checker.submit("j-1", 201);
    // Requests sent before the job was accepted, whose responses arrive after.
    checker.response_received(Query, "j-1", before_acceptance, Some(404), None);
    checker.response_received(Submit, "j-1", before_acceptance, Some(400), None);
    checker.response_received(Cancel, "j-1", before_acceptance, Some(404), None);
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    let after_acceptance = checker.request_sent(Query, "j-1");
    checker.response_received(Query, "j-1", after_acceptance, Some(404), None);
    checker.response_received(Submit, "j-1", after_acceptance, Some(400), None);
    checker.response_received(Cancel, "j-1", after_acceptance, Some(404), None);
    assert_eq!(violated(&checker), ["forgotten", "forgotten", "forgotten"]);
    checker.violations.clear();
    checker.cancellation_requested("j-1");
    let cancelled = Some(StatusPhase::Cancelled);
    checker.response_received(Cancel, "j-1", after_acceptance, Some(200), cancelled);
    for request in [Query, Submit, Cancel] {
        checker.response_received(
            request,
            "j-1",
            after_acceptance,
            Some(200),
            Some(StatusPhase::Running),
        );
    }
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    for request in [Query, Submit, Cancel] {
        let now = checker.request_sent(request, "j-1");
        checker.response_received(request, "j-1", now, Some(200), Some(StatusPhase::Running));
        checker.response_received(request, "j-1", now, Some(200), cancelled);
    }
    assert_eq!(violated(&checker), ["went_back", "went_back", "went_back"]);
    // Two different final phases contradict each other even if the requests overlap.
    checker.response_received(
        Query,
        "j-1",
        before_acceptance,
        Some(200),
        Some(StatusPhase::Done),
    );
    assert!(violated(&checker).contains(&"went_back".to_string()));
    assert_eq!(
        violated(&checker).len(),
        5,
        "went_back is followed by not_done, since the job's tasks have not completed"
    );
}

#[tokio::test(start_paused = true)]
async fn placements_that_violate_constraints_are_reported() {
    let mut checker = new_checker();
    let mut wrong_placements = |change: fn(&mut JobSpec)| {
        checker.jobs.entry("j-1".into()).and_modify(|spec| {
            (spec.zone, spec.one_zone, spec.spread) = (None, false, false);
            (spec.types, spec.spot) = (None, true);
            change(spec);
        });
        checker.violations.clear();
        let mut count_wrong = |placements: [(&str, &str, bool); 2]| {
            checker.running_on.clear();
            let before = checker.violations.len();
            for (index, (zone, machine_type, spot)) in placements.into_iter().enumerate() {
                let machine = ["m-1", "m-2"][index];
                let placement = Placement {
                    machine,
                    zone,
                    machine_type,
                    spot,
                };
                checker.task_started("j-1", index as u32, &placement);
            }
            let new = checker.violations[before..].iter();
            new.filter(|l| l.starts_with("wrong")).count()
        };
        let two_zones = count_wrong([("east", "box", false), ("west", "box", false)]);
        let one_zone = count_wrong([("east", "box", false), ("east", "box", false)]);
        let two_types = count_wrong([("east", "box", false), ("east", "crate", true)]);
        (two_zones, one_zone, two_types)
    };
    assert_eq!(wrong_placements(|_| ()), (0, 0, 0));
    assert_eq!(
        wrong_placements(|s| s.zone = Some("east".into())),
        (1, 0, 0)
    );
    assert_eq!(wrong_placements(|s| s.one_zone = true), (1, 0, 0));
    assert_eq!(wrong_placements(|s| s.spread = true), (0, 1, 1));
    assert_eq!(
        wrong_placements(|s| s.types = Some(vec!["box".into()])),
        (0, 0, 1)
    );
    assert_eq!(wrong_placements(|s| s.spot = false), (0, 0, 1));
}

/// Each service level is reported when it is missed and no longer once it is met. Also covers
/// CPU quotas, starts after a cancellation and accepted invalid jobs.
#[tokio::test(start_paused = true)]
async fn missed_service_levels_are_reported() {
    let mut checker = new_checker();
    checker.limits.clear();
    let cpus = TeamLimit {
        cpus: 3.0,
        ..TeamLimit::default()
    };
    checker.limits.insert("red".into(), cpus);
    for number in 1..=3 {
        let job = format!("j-{number}");
        checker.jobs.insert(job.clone(), spec(&job));
        checker.submit(&job, 201);
    }
    let missed = checker.service_violations();
    assert_eq!(missed.len(), 3, "class, team, largest: {missed:?}");
    checker.task_started("j-1", 0, &placement("m-1", "east"));
    checker.task_started("j-2", 0, &placement("m-2", "east"));
    assert!(violated(&checker).is_empty());
    let remaining = checker.service_violations();
    assert!(
        !remaining
            .iter()
            .any(|l| l.contains("class a") && !l.contains("largest"))
    );
    // The job without a start no longer counts once its cancellation is requested.
    checker.cancellation_requested("j-3");
    assert_eq!(checker.service_violations(), Vec::<String>::new());
    // A quota in CPUs is checked; a start soon after a cancellation is counted; accepting an
    // invalid job is a violation.
    checker.task_started("j-2", 1, &placement("m-3", "east"));
    checker.query("j-3", Some(200), Some(StatusPhase::Cancelled));
    advance(1_000).await;
    assert!(violated(&checker).is_empty());
    checker.task_started("j-3", 0, &placement("m-4", "east"));
    assert_eq!(violated(&checker), ["quota"]);
    let after_cancellation = StartsAfterCancellation {
        count: 1,
        longest_delay: Duration::from_secs(1),
    };
    assert_eq!(checker.starts_after_cancellation, after_cancellation);
    checker.violations.clear();
    checker.invalid_jobs.insert("j-4".into());
    checker.submit("j-4", 422);
    assert!(checker.violations.is_empty());
    checker.submit("j-4", 201);
    assert!(violated(&checker).contains(&"accepted though bad".to_string()));
}

#[tokio::test(start_paused = true)]
async fn starved_jobs_and_late_starts_are_reported() {
    let mut checker = new_checker();
    let free_capacity = |gpus: f64| FreeCapacity {
        machine: "m-1".into(),
        zone: "east".into(),
        machine_type: "box".into(),
        spot: false,
        cpus: 4.0,
        gpus,
        memory_gb: 8.0,
    };
    checker.submit("j-1", 201);
    let violations_after = async |checker: &mut InvariantChecker, gpus: f64, seconds: u64| {
        for _ in 0..seconds {
            checker.check_starvation(&[free_capacity(gpus)]);
            advance(1_000).await;
        }
        checker.violations.len()
    };
    assert_eq!(
        violations_after(&mut checker, 6.0, 100).await,
        0,
        "faults have not ended: starvation is not checked"
    );
    checker.faults_ended_at = Some(Instant::now());
    assert_eq!(
        violations_after(&mut checker, 5.0, 100).await,
        0,
        "no machine has enough free GPUs"
    );
    assert_eq!(violations_after(&mut checker, 6.0, 90).await, 0);
    assert!(violations_after(&mut checker, 6.0, 3).await > 0);
    assert!(violated(&checker).iter().all(|n| n == "left waiting"));
    advance(60_000).await;
    checker.task_started("j-1", 0, &placement("m-1", "east"));
    assert_eq!(checker.service_violations(), ["largest begun late: j-1"]);
    checker.violations.clear();
    // 6 of the team's 10 GPUs are in use: another task with 6 GPUs would exceed the quota.
    assert_eq!(violations_after(&mut checker, 6.0, 100).await, 0);
}

#[test]
fn placements_are_shown_with_all_fields() {
    let shown = placement("m-1", "east").to_string();
    let expected = r#"Place { machine: "m-1", zone: "east", kind: "box", spot: false }"#;
    assert_eq!(shown, expected);
}
