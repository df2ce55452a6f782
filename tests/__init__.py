"""Tests of cottonlink."""
