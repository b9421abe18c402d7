use super::*;
use IncidentCause::{NoLeader, RuntimeLagging};

#[test]
fn an_incident_lasts_until_its_last_cause_and_includes_pauses() {
    let mut recorder = IncidentRecorder::default();
    assert_eq!(recorder.observe(1.0, &[], 3.0), None);
    assert_eq!(
        recorder.observe(1.0, &[NoLeader, RuntimeLagging], 3.0),
        None
    );
    assert_eq!(recorder.observe(2.0, &[], 3.0), None);
    assert_eq!(recorder.observe(1.0, &[RuntimeLagging], 3.0), None);
    let current = recorder.summary().current.unwrap();
    assert_eq!(current.duration_s, 4.0);
    assert_eq!(recorder.observe(2.0, &[], 3.0), None);
    let resolved = recorder.observe(2.0, &[], 3.0).unwrap();
    assert_eq!(resolved.duration_s, 4.0);
    assert_eq!(
        resolved.causes,
        [(NoLeader, 1.0), (RuntimeLagging, 2.0)].into()
    );
    let summary = IncidentSummary {
        current: None,
        last: Some(resolved),
    };
    assert_eq!(recorder.summary(), summary);
    assert_eq!(
        recorder.observe(9.0, &[], 3.0),
        None,
        "an incident is returned only once"
    );
    recorder.observe(1.0, &[NoLeader], 3.0);
    assert_eq!(recorder.summary().current.unwrap().duration_s, 1.0);
}
