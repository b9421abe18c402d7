use super::*;

#[test]
fn a_bitmap_survives_a_snapshot_in_parts_that_fit_the_smallest_value() {
    let mut bitmap = TaskBitmap::default();
    for task in (0..100_000).filter(|task| task % 3 != 0) {
        assert!(bitmap.insert(task));
    }
    assert!(!bitmap.insert(1));
    let mut restored = TaskBitmap::default();
    for part in bitmap.to_hex_parts() {
        assert!(part.digits.len() <= 4096);
        assert!(restored.insert_hex(part.first_task, &part.digits).is_ok());
    }
    assert_eq!(restored, bitmap);
    assert!(restored.insert_hex(0, "0x").is_err());
}
