use super::*;

const BOOT_S: f64 = 40.0;
const GROUP: BootGroup = BootGroup {
    machine_type: 0,
    zone: 0,
};
const OTHER_ZONE: BootGroup = BootGroup {
    machine_type: 0,
    zone: 1,
};

/// An estimator at the time 1000 s. Each sample is the number of seconds since the rental of a
/// machine and its boot time in seconds, `None` if the machine has not booted.
fn estimator(samples: &[(f64, Option<f64>)]) -> BootTimeEstimator {
    let mut estimator = BootTimeEstimator::new(1000.0, 0.0);
    for (age_s, boot_s) in samples {
        let sample = BootSample {
            rented_s: 1000.0 - age_s,
            elapsed_s: boot_s.unwrap_or(*age_s),
            booted: boot_s.is_some(),
        };
        estimator.add_sample(GROUP, BOOT_S, sample);
    }
    estimator.finish_sampling();
    estimator
}

fn expected_ratio(estimator: &BootTimeEstimator) -> f64 {
    estimator.expected_boot_s(GROUP, BOOT_S) / BOOT_S
}

fn lateness(estimator: &BootTimeEstimator, age_s: f64) -> BootLateness {
    estimator.lateness(GROUP, BOOT_S, 1000.0 - age_s)
}

#[test]
fn usual_boot_times_count_until_samples_exist() {
    let none = estimator(&[]);
    assert_eq!(expected_ratio(&none), 1.1);
    let remaining = |age: f64| none.remaining_s(GROUP, BOOT_S, 1000.0 - age * BOOT_S) / BOOT_S;
    assert!((remaining(0.2) - 0.9).abs() < 1e-9 && remaining(1.2) == 0.2);
    assert!((1.2..1.6).contains(&remaining(1.6)), "{}", remaining(1.6));
    assert_eq!(lateness(&none, 1.4 * BOOT_S), BootLateness::OnTime);
    assert_eq!(lateness(&none, 2.0 * BOOT_S), BootLateness::LateLikeOthers);
    assert_eq!(lateness(&none, 2.6 * BOOT_S), BootLateness::ReplaceNow);
}

#[test]
fn a_few_outliers_do_not_change_the_estimate() {
    let mut samples = vec![(200.0, Some(0.95 * BOOT_S)); 14];
    samples.extend([(150.0, Some(0.5)), (150.0, Some(3.5 * BOOT_S))]);
    let expected = expected_ratio(&estimator(&samples));
    assert_eq!(expected, 1.1);
}

/// Guards against waiting for late machines instead of replacing them. With 580 machines that
/// took five times the usual boot time, each estimate expected every machine to be up within
/// a fifth of a boot time, and tasks waited 250 s for them.
#[test]
fn machine_is_replaced_when_few_do_not_boot() {
    let mut samples = vec![(110.0, Some(BOOT_S)); 12];
    samples.extend(vec![(110.0, None); 4]);
    let few_missing = estimator(&samples);
    assert!(
        (0.9..1.2).contains(&expected_ratio(&few_missing)),
        "{}",
        expected_ratio(&few_missing)
    );
    assert_eq!(lateness(&few_missing, 110.0), BootLateness::ReplaceNow);
}

#[test]
fn when_all_are_late_none_is_replaced_except_as_a_trial() {
    let all_late = estimator(&vec![(100.0, None); 300]);
    assert!(
        expected_ratio(&all_late) > 3.0,
        "{}",
        expected_ratio(&all_late)
    );
    assert_eq!(lateness(&all_late, 100.0), BootLateness::LateLikeOthers);
    // The machines rented as trials boot in the nominal time, so the late ones are replaced.
    let mut samples = vec![(180.0, None); 300];
    samples.extend(vec![(60.0, Some(BOOT_S)); 16]);
    let recovered = estimator(&samples);
    assert!(
        expected_ratio(&recovered) < 1.2,
        "{}",
        expected_ratio(&recovered)
    );
    assert_eq!(lateness(&recovered, 180.0), BootLateness::ReplaceNow);
    // Samples of machines that were rented long ago are ignored.
    let stale = estimator(&vec![(500.0, Some(5.0 * BOOT_S)); 50]);
    assert!(expected_ratio(&stale) < 1.2);
}

#[test]
fn slow_cohort_is_waited_for_as_long_as_its_first_machines_took() {
    let mut samples = vec![(220.0, Some(4.0 * BOOT_S)); 8];
    samples.extend(vec![(150.0, None); 8]);
    let slow = estimator(&samples);
    let remaining_s = slow.remaining_s(GROUP, BOOT_S, 1000.0 - 150.0);
    assert!((5.0..40.0).contains(&remaining_s), "{remaining_s}");
    assert_eq!(lateness(&slow, 150.0), BootLateness::LateLikeOthers);
}

#[test]
fn very_short_boots_are_expected_for_new_machines() {
    let instant = estimator(&[(30.0, Some(1.5)); 16]);
    assert!(instant.expected_boot_s(GROUP, BOOT_S) < 4.0);
    assert!(
        instant.remaining_s(GROUP, BOOT_S, 995.0) >= 0.2 * BOOT_S,
        "lower bound for a machine that has not booted"
    );
    assert_eq!(
        instant.expected_boot_s(OTHER_ZONE, BOOT_S),
        estimator(&[]).expected_boot_s(OTHER_ZONE, BOOT_S),
        "samples of one zone do not count for another zone"
    );
}
