"""Guards against versions that arrive late, twice over a link or not at all."""

from tests.components.delivery import world as worlds


def test_version_reaches_all_nodes_within_3_s():
    world = worlds.World()
    world.run(3000)
    for _ in range(3):
        world.commit()
        world.run_until(world.is_everywhere, 3000)
