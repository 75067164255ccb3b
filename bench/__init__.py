"""Measurements: one program each, JSON lines last."""
