"""Entry point of ``python -m sequoiahook``."""

from sequoiahook.cli.main import main

if __name__ == "__main__":
    main()
