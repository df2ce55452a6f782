"""The side of a node that follows the store, where operators and targets publish."""
