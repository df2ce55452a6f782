"""The side of a node that other nodes connect to: frames, links and notices."""
