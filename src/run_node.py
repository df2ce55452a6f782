"""Starts a node on the platform, from a checkout."""

import signal
import sys

# A change of the settings may be announced before the node listens for it; the default would end
# the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from cottonlink.platform._process import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
