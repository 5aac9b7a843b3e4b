"""Command line of sequoiahook."""
