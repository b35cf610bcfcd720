"""Engines that tell the version of their software and write it into each event, so that a reader sees who wrote what."""
from breaking_engine import BreakingEngine

SEPARATOR = "@"


class VersionedEngine(BreakingEngine):
    def __init__(self, number, port, controls, asked, places, share, version, **more):
        super().__init__(number, port, controls, asked, places, share, **more)
        self.version = version

    def entry(self, **fields):
        return super().entry(Version=self.version, **fields)

    def event_data(self, text, number):
        return f"{text}-{number}{SEPARATOR}{self.version}"


def versions_in(lines):
    """The versions that wrote these events, in order of their first one."""
    return list(dict.fromkeys(line.rsplit(SEPARATOR, 1)[1] for line in lines))
