"""What lasts: topics of a log that keep the newest record of each key."""
