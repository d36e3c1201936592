"""The planners' sheet: parsing, calendar, schedule and diff."""
