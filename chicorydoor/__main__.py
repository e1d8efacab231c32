"""Entry point of ``python -m chicorydoor``."""

import sys

from chicorydoor.cli import main

if __name__ == "__main__":
    sys.exit(main.main())
