"""Reports for people: the HTML page of a record and the live view of a run."""
