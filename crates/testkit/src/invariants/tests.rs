use super::*;

fn spec(uid: &str) -> JobSpec {
    let spec = r#"{"uid":"j-1","lane":"a","crew":"red","shape":"sweep","rank":"normal",
        "pieces":2,"cpus":1,"gpus":6,"memoryGb":1,"kit":"i","sizeGb":1,"together":false,
        "spread":false,"loaners":false,"guessS":60,"waypointS":0,"stashS":0}"#;
    JobSpec::parse(spec.replace("j-1", uid).as_bytes()).unwrap()
}

fn rules() -> Rules {
    let mut rules = Rules {
        cancel: Duration::from_secs(60),
        ..Rules::default()
    };
    rules.jobs.insert("j-1".into(), spec("j-1"));
    let gpus = Limit {
        gpus: 10.0,
        ..Limit::default()
    };
    rules.limits.insert("red".into(), gpus);
    rules
}

fn at<'a>(machine: &'a str, zone: &'a str) -> Place<'a> {
    Place {
        machine,
        zone,
        kind: "box",
        spot: false,
    }
}

impl Rules {
    /// A question that was sent and answered now.
    fn ask(&mut self, uid: &str, status: Option<u16>, stance: Option<StatusPhase>) {
        let sent = self.sends(Request::Ask, uid);
        self.answered(Request::Ask, uid, sent, status, stance);
    }

    fn submit(&mut self, uid: &str, status: u16) {
        let queued = Some(StatusPhase::Queued).filter(|_| status < 300);
        let sent = self.sends(Request::Submit, uid);
        self.answered(Request::Submit, uid, sent, Some(status), queued);
    }
}

/// Rules broken so far, by their names.
fn names(rules: &Rules) -> Vec<String> {
    let name = |line: &String| line.split(':').next().unwrap_or("").to_string();
    rules.broken.iter().map(name).collect()
}

async fn pass(ms: u64) {
    tokio::time::advance(Duration::from_millis(ms)).await;
}

#[tokio::test(start_paused = true)]
async fn the_checker_sees_each_rule_broken() {
    let mut rules = rules();
    rules.submit("j-1", 201);
    rules.ask("j-1", Some(200), Some(StatusPhase::Queued));
    rules.starts("j-1", 0, &at("m-1", "east"));
    assert!(rules.broken.is_empty());
    rules.starts("j-1", 0, &at("m-2", "east"));
    rules.starts("j-1", 1, &at("m-3", "east"));
    assert_eq!(names(&rules), ["ran_twice", "quota"]);
    rules.ask("j-1", Some(200), Some(StatusPhase::Done));
    rules.ask("j-1", Some(200), Some(StatusPhase::Running));
    rules.ask("j-2", Some(200), Some(StatusPhase::Queued));
    rules.ask("j-1", Some(404), None);
    rules.submit("j-1", 422);
    assert_eq!(
        names(&rules)[2..],
        [
            "not_done",
            "went_back",
            "invented",
            "forgotten",
            "forgotten"
        ]
    );
    rules.broken.clear();
    rules.ask("j-1", Some(200), Some(StatusPhase::Cancelled));
    assert_eq!(
        names(&rules),
        ["went_back", "went_back"],
        "nobody asked, and it was done"
    );
    rules.broken.clear();
    pass(59_000).await;
    rules.sweep();
    assert!(rules.broken.is_empty());
    pass(2_000).await;
    rules.sweep();
    assert_eq!(names(&rules)[0], "ran_cancelled");
    rules.gone("j-1", 0, "m-1", false);
    assert_eq!(rules.cancelled_for.as_secs(), 61);
    rules.broken.clear();
    for wait in [0, 80, 11] {
        pass(wait * 1000).await;
        rules.ask("j-1", Some(503), None);
    }
    assert!(rules.broken.is_empty(), "nobody was answered");
    for _ in 0..5 {
        rules.ask("j-9", Some(404), None);
    }
    rules.ask("j-1", None, None);
    assert_eq!(names(&rules), ["forgotten"], "others were");
    rules.broken.clear();
    rules.calm_since = Some(Instant::now());
    for wait in [74, 2] {
        assert!(rules.broken.is_empty());
        pass(wait * 1000).await;
        rules.questions.clear();
        rules.ask("j-1", Some(503), None);
    }
    assert_eq!(names(&rules), ["forgotten"], "however others fare");
}

/// A question sent after an answer arrived anywhere is not told anything older; one that
/// was under way then may be.
#[tokio::test(start_paused = true)]
async fn the_checker_tells_older_answers_from_overlapping_ones() {
    use Request::{Ask, Cancel, Submit};
    let mut rules = rules();
    let early = rules.sends(Ask, "j-1");
    rules.submit("j-1", 201);
    // Asked before it was accepted, and answered after.
    rules.answered(Ask, "j-1", early, Some(404), None);
    rules.answered(Submit, "j-1", early, Some(400), None);
    rules.answered(Cancel, "j-1", early, Some(404), None);
    assert!(rules.broken.is_empty(), "{:?}", rules.broken);
    let accepted = rules.sends(Ask, "j-1");
    rules.answered(Ask, "j-1", accepted, Some(404), None);
    rules.answered(Submit, "j-1", accepted, Some(400), None);
    rules.answered(Cancel, "j-1", accepted, Some(404), None);
    assert_eq!(names(&rules), ["forgotten", "forgotten", "forgotten"]);
    rules.broken.clear();
    rules.asks_to_cancel("j-1");
    let aborted = Some(StatusPhase::Cancelled);
    rules.answered(Cancel, "j-1", accepted, Some(200), aborted);
    for request in [Ask, Submit, Cancel] {
        rules.answered(
            request,
            "j-1",
            accepted,
            Some(200),
            Some(StatusPhase::Running),
        );
    }
    assert!(rules.broken.is_empty(), "{:?}", rules.broken);
    for request in [Ask, Submit, Cancel] {
        let now = rules.sends(request, "j-1");
        rules.answered(request, "j-1", now, Some(200), Some(StatusPhase::Running));
        rules.answered(request, "j-1", now, Some(200), aborted);
    }
    assert_eq!(names(&rules), ["went_back", "went_back", "went_back"]);
    // Two final states never agree, also where the questions overlap.
    rules.answered(Ask, "j-1", early, Some(200), Some(StatusPhase::Done));
    assert!(names(&rules).contains(&"went_back".to_string()));
    assert_eq!(names(&rules).len(), 5, "and not done");
}

#[tokio::test(start_paused = true)]
async fn the_checker_sees_tasks_where_their_job_does_not_allow_them() {
    let mut rules = rules();
    let mut with = |change: fn(&mut JobSpec)| {
        rules.jobs.entry("j-1".into()).and_modify(|spec| {
            (spec.zone, spec.one_zone, spec.spread) = (None, false, false);
            (spec.types, spec.spot) = (None, true);
            change(spec);
        });
        rules.broken.clear();
        let mut wrong = |places: [(&str, &str, bool); 2]| {
            rules.on.clear();
            let before = rules.broken.len();
            for (i, (zone, kind, spot)) in places.into_iter().enumerate() {
                let machine = ["m-1", "m-2"][i];
                let at = Place {
                    machine,
                    zone,
                    kind,
                    spot,
                };
                rules.starts("j-1", i as u32, &at);
            }
            let new = rules.broken[before..].iter();
            new.filter(|l| l.starts_with("wrong")).count()
        };
        let apart = wrong([("east", "box", false), ("west", "box", false)]);
        let same = wrong([("east", "box", false), ("east", "box", false)]);
        let kinds = wrong([("east", "box", false), ("east", "crate", true)]);
        (apart, same, kinds)
    };
    assert_eq!(with(|_| ()), (0, 0, 0));
    assert_eq!(with(|s| s.zone = Some("east".into())), (1, 0, 0));
    assert_eq!(with(|s| s.one_zone = true), (1, 0, 0));
    assert_eq!(with(|s| s.spread = true), (0, 1, 1));
    assert_eq!(with(|s| s.types = Some(vec!["box".into()])), (0, 0, 1));
    assert_eq!(with(|s| s.spot = false), (0, 0, 1));
}

/// The operators' own conditions, each seen to fail.
#[tokio::test(start_paused = true)]
async fn the_checker_sees_who_is_not_served() {
    let mut rules = rules();
    rules.limits.clear();
    let cpus = Limit {
        cpus: 3.0,
        ..Limit::default()
    };
    rules.limits.insert("red".into(), cpus);
    for n in 1..=3 {
        let uid = format!("j-{n}");
        rules.jobs.insert(uid.clone(), spec(&uid));
        rules.submit(&uid, 201);
    }
    let half = rules.served();
    assert_eq!(half.len(), 3, "class, team, largest: {half:?}");
    rules.starts("j-1", 0, &at("m-1", "east"));
    rules.starts("j-2", 0, &at("m-2", "east"));
    assert!(names(&rules).is_empty());
    let left = rules.served();
    assert!(
        !left
            .iter()
            .any(|l| l.contains("class a") && !l.contains("largest"))
    );
    // Withdrawn before it began.
    rules.asks_to_cancel("j-3");
    assert_eq!(rules.served(), Vec::<String>::new());
    // Limits in CPUs, starts after a cancellation, bad jobs.
    rules.starts("j-2", 1, &at("m-3", "east"));
    rules.ask("j-3", Some(200), Some(StatusPhase::Cancelled));
    pass(1_000).await;
    assert!(names(&rules).is_empty());
    rules.starts("j-3", 0, &at("m-4", "east"));
    assert_eq!(names(&rules), ["quota"]);
    assert_eq!(rules.after_cancel, (1, Duration::from_secs(1)));
    rules.broken.clear();
    rules.bad.insert("j-4".into());
    rules.submit("j-4", 422);
    assert!(rules.broken.is_empty());
    rules.submit("j-4", 201);
    assert!(names(&rules).contains(&"accepted though bad".to_string()));
}

#[tokio::test(start_paused = true)]
async fn the_checker_sees_jobs_left_waiting_and_begun_late() {
    let mut rules = rules();
    let room = |gpus: f64| Room {
        machine: "m-1".into(),
        zone: "east".into(),
        kind: "box".into(),
        spot: false,
        cpus: 4.0,
        gpus,
        memory_gb: 8.0,
    };
    rules.submit("j-1", 201);
    let look = async |rules: &mut Rules, gpus: f64, seconds: u64| {
        for _ in 0..seconds {
            rules.look_who_waits(&[room(gpus)]);
            pass(1_000).await;
        }
        rules.broken.len()
    };
    assert_eq!(look(&mut rules, 6.0, 100).await, 0, "not calm");
    rules.calm_since = Some(Instant::now());
    assert_eq!(look(&mut rules, 5.0, 100).await, 0, "no room");
    assert_eq!(look(&mut rules, 6.0, 90).await, 0);
    assert!(look(&mut rules, 6.0, 3).await > 0);
    assert!(names(&rules).iter().all(|n| n == "left waiting"));
    pass(60_000).await;
    rules.starts("j-1", 0, &at("m-1", "east"));
    assert_eq!(rules.served(), ["largest begun late: j-1"]);
    rules.broken.clear();
    // Six of ten GPUs are used: the team is at its limit.
    assert_eq!(look(&mut rules, 6.0, 100).await, 0);
}
