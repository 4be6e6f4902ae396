//! A crowd of refused requests must not fill the log, nor silence it.

use std::time::Duration;

use super::{LogLimit, MAX_LINES, SPAN};

#[test]
fn crowd_gets_so_many_lines_in_a_span() {
    let (log, now) = (LogLimit::default(), Duration::from_secs(100));
    let logged = (0..10_000).filter(|_| log.admits_at(now)).count();
    assert_eq!(logged, MAX_LINES as usize);
    assert_eq!(log.take_suppressed(), 10_000 - u64::from(MAX_LINES));
    assert_eq!(log.take_suppressed(), 0);
}

#[test]
fn next_span_is_logged_again() {
    let (log, now) = (LogLimit::default(), Duration::from_secs(100));
    let logged = (0..10_000).filter(|_| log.admits_at(now)).count();
    assert_eq!(logged, MAX_LINES as usize);
    assert!(!log.admits_at(now + SPAN / 2));
    assert!(log.admits_at(now + SPAN));
}
