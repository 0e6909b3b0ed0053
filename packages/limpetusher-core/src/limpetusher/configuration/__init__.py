"""Configuration of the fleet: validated document, compiled form, questionnaire and difference."""
