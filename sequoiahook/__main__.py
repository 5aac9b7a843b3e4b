"""Runs the command line by ``python -m sequoiahook``."""

from sequoiahook.cli.main import main

if __name__ == "__main__":
    main()
