//! The scenarios of `tests/scenarios`. Each names the failure that it guards against.

use std::path::Path;

#[test]
fn scenarios_give_their_expected_output() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios");
    tarragon_lab::scenario::run(&folder);
}
