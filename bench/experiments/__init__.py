"""Experiments of bench/run, one module per subject."""
