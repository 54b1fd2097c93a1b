"""Input and output: codec, links, disk, timers and HTTP; no rules."""
