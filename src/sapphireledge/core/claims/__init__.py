"""Part of the decision core."""
