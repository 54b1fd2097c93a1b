"""Building blocks that know no component."""
