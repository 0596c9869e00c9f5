"""Settings of the memory of a process."""

from plantainstack.settings.options import Options, Size


class MemoryOptions(Options):
    """Options of the section `memory`, which are read at the start."""

    limit = Size(
        "128 MB",
        help="Memory of this instance, by which answers and bodies are limited.",
    )
