"""Configuration of the fleet: document validation, compiled form, questionnaire and document comparison."""
