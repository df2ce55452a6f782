"""Starts a node on the platform, from a checkout."""

import signal

# SIGHUP announces changed settings. It may arrive before the node installs its handler, and its
# default action would terminate the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from cottonlink.platform._process import main  # noqa: E402

if __name__ == "__main__":
    main()
