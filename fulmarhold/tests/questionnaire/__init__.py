"""Tests of fulmarhold.questionnaire."""
