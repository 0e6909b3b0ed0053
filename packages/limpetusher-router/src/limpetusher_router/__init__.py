"""Router process: a circuits application around the decision core."""
