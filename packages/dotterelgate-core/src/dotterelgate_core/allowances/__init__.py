"""Allowances that all daemons share: quotas of organisations."""
