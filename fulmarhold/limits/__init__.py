"""Budgets for extra load and admission of queries."""
