"""Tests of the adapter to the hosting platform."""
