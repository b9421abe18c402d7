use super::*;

#[test]
fn request_paths_hold_only_printable_characters() {
    assert_eq!(request_path(&AdminCommand::Status), "/admin/status");
    let after = "i-0001 \n\u{e9}".to_string();
    let path = request_path(&AdminCommand::Machines { after });
    assert_eq!(path, "/admin/machines?after=i-0001");
}
