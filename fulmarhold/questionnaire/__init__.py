"""The operators' questionnaire and the configuration derived from it."""
