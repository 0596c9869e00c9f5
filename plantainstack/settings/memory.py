"""Settings of the memory and the file descriptors of a process."""

from plantainstack.settings.options import Integer, Options, Size


class MemoryOptions(Options):
    """Options of the section `memory`, which are read at the start."""

    limit = Size(
        "128 MB",
        help="Memory of this instance, by which answers and bodies are limited.",
    )
    descriptors = Integer(
        "0",
        help="File descriptors of this instance, by which clients' connections are "
        "limited; 0 for the limit of the process.",
    )
