"""Router process of a platform host: shares targets with its peers by load reports."""
