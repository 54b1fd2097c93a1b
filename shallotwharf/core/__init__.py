"""Building blocks shared by all components; they import none of them."""
