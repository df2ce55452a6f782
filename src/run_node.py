"""Starts a node on the platform, from a checkout."""

import sys

from cottonlink.platform._process import main

if __name__ == "__main__":
    sys.exit(main())
