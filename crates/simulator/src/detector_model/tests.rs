use super::*;

fn detector_config() -> DetectorConfig {
    DetectorConfig {
        heartbeat_s: 0.33,
        round_s: 1.0,
        member_lease_s: 5.7,
        worker_lease_s: 40.0,
        phi_threshold: 8.0,
        refusal_threshold: 2,
    }
}

fn network(controllers: usize) -> Network {
    Network {
        controllers,
        loss_share: 0.02,
        slow_share: 0.05,
        slow_max_s: 0.5,
        mean_time_between_pauses_s: 300.0,
        pause_max_s: 3.0,
    }
}

#[test]
fn failures_are_detected_within_bounds_and_without_false_positives() {
    for controllers in [3, 7] {
        let counts = simulate_healthy(
            &network(controllers),
            &detector_config(),
            0.4,
            controllers as u64,
        );
        assert_eq!(counts.false_positives, 0, "{counts:?}");
        for seed in 0..20 {
            let detection_s = time_to_detection(
                &network(controllers),
                &detector_config(),
                FailureMode::Refuses,
                seed,
            )
            .unwrap();
            assert!(
                detection_s < 3.0,
                "{controllers} controllers, seed {seed}: {detection_s} s"
            );
            let detection_s = time_to_detection(
                &network(controllers),
                &detector_config(),
                FailureMode::Silent,
                seed,
            )
            .unwrap();
            assert!(
                detection_s < 6.5,
                "{controllers} controllers, seed {seed}: {detection_s} s"
            );
        }
    }
}

#[test]
fn rate_of_zero_events_has_an_upper_bound() {
    let rate = RateEstimate::new(0, 1000.0);
    assert_eq!((rate.per_hour, rate.low), (0.0, 0.0));
    // The 97.5% quantile of the exponential distribution: -ln(0.025).
    assert!((rate.high * 1000.0 - 3.689).abs() < 0.01);
}
