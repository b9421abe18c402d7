use super::*;

#[test]
fn a_bitmap_is_restored_from_hex_parts_of_at_most_4096_digits() {
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
