"""The planners' sheet: parser, validation, schedule and diff.

The sheet is a CSV file that states which engine serves which role and model
at which hours.
"""
