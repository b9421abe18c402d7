use super::*;

fn spec(class: &str) -> JobSpec {
    let text = format!(
        r#"{{"uid":"j-1","lane":"{class}","crew":"a","shape":"sweep","rank":"normal",
        "pieces":1,"cpus":1,"gpus":0,"memoryGb":1,"kit":"i","sizeGb":1,"together":false,
        "spread":false,"loaners":false,"guessS":60,"waypointS":0,"stashS":0}}"#
    );
    JobSpec::parse(text.as_bytes()).unwrap()
}

#[test]
fn job_past_its_objective_waits_behind_one_that_can_meet_it() {
    let objective = |kind: &str, class: &str, within_s| Objective {
        kind: kind.into(),
        class: class.into(),
        within_s,
        share: 0.9,
    };
    let objectives = [
        objective("finished", "scan", 120.0),
        objective("wait", "sim", 60.0),
    ];
    let durations = TaskDurations {
        fetch_s: 10.0,
        run_s: 60.0,
        guaranteed: false,
    };
    let early = latest_useful_start(&spec("scan"), 0.0, 40.0, durations, &objectives);
    let late = latest_useful_start(&spec("scan"), 0.0, 60.0, durations, &objectives);
    let sim = latest_useful_start(&spec("sim"), 30.0, 60.0, durations, &objectives);
    assert_eq!(early, 50.0);
    assert!(sim < late, "{sim} {late}");
    // Jobs that arrive much later are placed after the job that missed its objective.
    assert!(late < latest_useful_start(&spec("sim"), 500.0, 500.0, durations, &objectives));
}
