"""Parts that every role builds on: timers, logs, settings, the store."""
