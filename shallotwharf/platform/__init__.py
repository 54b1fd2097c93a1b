"""Translation between the users' platform and the product; holds no rule."""
