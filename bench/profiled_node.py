"""Starts a node of another checkout under cProfile, for ``bench.path_cost``."""

from __future__ import annotations

import cProfile
import os
import sys
import time


def main() -> None:
    """Run the node whose sources are in the first argument; write its profile to the second."""
    source_path, profile_path = sys.argv[1:]
    sys.path.insert(0, source_path)
    from cottonlink.platform import _process

    # Processor time: the elapsed time of a write contains that of the processes it wakes.
    profile = cProfile.Profile(time.process_time)
    end_process = os._exit

    def write_and_exit(status: int) -> None:
        profile.disable()
        profile.dump_stats(profile_path)
        end_process(status)

    # A node ends by os._exit, which skips everything behind it.
    os._exit = write_and_exit
    profile.enable()
    _process.main()


if __name__ == "__main__":
    main()
