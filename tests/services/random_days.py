"""What happens to instances and their store on a random day on virtual time."""

import anyio

from tests.services.store_fleet import running


class RandomDay:
    """Hold the instances of a day; `rng` draws what happens to them.

    A subclass sets `rng`, `platform` and `kernels`.
    """

    seconds = 25.0

    async def take_store_away(self):
        """Let some instances lose the store for a time."""
        stores = [
            kernel.plugin("store").metadata_store
            for kernel in self.rng.sample(self.kernels, self.rng.randint(1, 3))
        ]
        for store in stores:
            store.unavailable = True
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        for store in stores:
            store.unavailable = False

    async def run_another_instance(self):
        """Run one more instance for a part of the day."""
        await anyio.sleep(self.rng.uniform(0.0, self.seconds / 2))
        async with running(self.platform, "d") as (kernel,):
            self.kernels.append(kernel)
            await anyio.sleep(self.rng.uniform(1.0, self.seconds / 2))
            self.kernels.remove(kernel)
            await anyio.sleep(1.0)


async def play_all(day, seeds):
    """Play the days of a class with these seeds."""
    for seed in seeds:
        await day(seed).play()
