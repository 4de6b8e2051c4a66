//! Registrations of targets: restarts, lapses and data centres that are out.

use std::time::{Duration, Instant};

use tarragon_fleet::directory::{DirectoryChange, TargetDirectory};

use crate::support::*;

const COLD: Duration = Duration::from_secs(3);

fn cold(_service: &str) -> Duration {
    COLD
}

fn name(index: u8) -> TargetName {
    listed(index).address
}

fn read(
    directory: &mut TargetDirectory,
    at: Instant,
    revision: u64,
    targets: &[ListedTarget],
) -> Vec<DirectoryChange> {
    directory.apply_listing(&listing(revision, targets.to_vec()), at, cold)
}

/// Guards against full load on a target that has just started, and against a ramp for targets that were
/// running before this process was.
#[test]
fn a_target_that_appears_later_counts_as_cold() {
    let now = Instant::now();
    let mut directory = TargetDirectory::default();
    read(&mut directory, now, 1, &[listed(1)]);
    assert!(!directory.get(&name(1)).unwrap().is_cold(now));
    let later = now + Duration::from_secs(1);
    read(&mut directory, later, 2, &[listed(1), listed(2)]);
    assert!(directory.get(&name(2)).unwrap().is_cold(later + Duration::from_secs(2)));
    assert!(!directory.get(&name(2)).unwrap().is_cold(later + COLD));
}

/// Guards against requests for a process that is gone while another one has its address, under a new name or
/// under the old one.
#[test]
fn the_process_that_started_last_has_the_address() {
    let now = Instant::now();
    let second = now + Duration::from_secs(1);
    for instance in ["i-1", "i-9"] {
        let mut directory = TargetDirectory::default();
        read(&mut directory, now, 1, &[listed(1)]);
        let new = ListedTarget { instance: instance.into(), started_ms: 2_000, ..listed(1) };
        let old = ListedTarget { revision: 9, ..listed(1) };
        let changes = read(&mut directory, second, 2, &[new, old]);
        assert_eq!(changes, [DirectoryChange::Restarted(name(1))], "{instance}");
        let entry = directory.get(&name(1)).unwrap();
        assert_eq!(&*entry.listed.instance, instance);
        assert!(entry.is_cold(second));
    }
}

/// Guards against a fleet that loses all targets when the store was away and their entries have lapsed, and
/// against one that keeps those which don't come back.
#[test]
fn lapsed_entries_get_time_to_come_back() {
    let now = Instant::now();
    let mut directory = TargetDirectory::default();
    read(&mut directory, now, 1, &[listed(1), listed(2)]);
    let back = now + Duration::from_secs(5);
    assert_eq!(read(&mut directory, back, 2, &[listed(1)]), []);
    assert!(directory.get(&name(2)).is_some());
    let late = back + Duration::from_millis(2_300);
    assert_eq!(read(&mut directory, late, 3, &[listed(1)]), [DirectoryChange::Lapsed(name(2))]);
}

/// Guards against a target that stays in use after its entry is gone while the store was reachable.
#[test]
fn an_entry_that_goes_is_gone_at_once() {
    let now = Instant::now();
    let mut directory = TargetDirectory::default();
    read(&mut directory, now, 1, &[listed(1), listed(2)]);
    let next = now + Duration::from_secs(1);
    assert_eq!(read(&mut directory, next, 2, &[listed(2)]), [DirectoryChange::Lapsed(name(1))]);
}

/// Guards against a planned end that is taken for a crash.
#[test]
fn an_entry_of_a_leaving_target_is_removed() {
    let now = Instant::now();
    let mut directory = TargetDirectory::default();
    read(&mut directory, now, 1, &[ListedTarget { leaving: true, ..listed(1) }, listed(2)]);
    let next = now + Duration::from_secs(1);
    assert_eq!(read(&mut directory, next, 2, &[listed(2)]), [DirectoryChange::Removed(name(1))]);
}

/// Guards against an old listing of a peer that brings back a target which is leaving.
#[test]
fn an_older_listing_changes_nothing() {
    let now = Instant::now();
    let mut directory = TargetDirectory::default();
    let leaving = ListedTarget { leaving: true, ..listed(1) };
    read(&mut directory, now, 7, &[leaving]);
    let next = now + Duration::from_secs(1);
    assert_eq!(read(&mut directory, next, 6, &[listed(1)]), []);
    assert!(!directory.get(&name(1)).unwrap().in_service());
}

/// Guards against full load on targets of a data centre that comes back cold.
#[test]
fn targets_of_a_returned_data_centre_count_as_cold() {
    let now = Instant::now();
    let mut directory = TargetDirectory::default();
    read(&mut directory, now, 1, &[listed(1)]);
    assert_eq!(directory.set_evacuated(|name| name == "north", cold, now), [name(1)]);
    assert!(!directory.get(&name(1)).unwrap().in_service());
    let back = now + Duration::from_secs(8);
    assert_eq!(directory.set_evacuated(|_| false, cold, back), [name(1)]);
    let entry = directory.get(&name(1)).unwrap();
    assert!(entry.in_service() && entry.is_cold(back));
}

/// Guards against targets that get requests long after their entries were removed, since a process learns from its
/// listing only with that change that the store had come back from a copy, and waits for the entries to return.
#[test]
fn targets_removed_long_after_a_restore_are_gone_at_once() {
    // Seconds after the restore at which the operator state tells of it, if it does.
    for (noted, is_gone) in [(Some(0), true), (None, false), (Some(5), false)] {
        let start = Instant::now();
        let second = Duration::from_secs(1);
        let mut directory = TargetDirectory::default();
        for age in 0..3 {
            read(&mut directory, start + age * second, 9, &[listed(1), listed(2)]);
        }
        let restored = start + 3 * second;
        for age in 0..6 {
            let now = restored + age * second;
            if noted == Some(age) {
                directory.note_era(1, now);
            }
            // Equal content of the new era only confirms the known listing.
            directory.confirm(now);
        }
        let now = restored + 6 * second;
        let without = TargetListing { era: 1, ..listing(7, vec![listed(2)]) };
        directory.apply_listing(&without, now, cold);
        assert_eq!(directory.get(&name(1)).is_none(), is_gone, "noted after {noted:?} s");
    }
}
