"""Stand-ins of the second review: runners, the advice service, daemons and callers."""
