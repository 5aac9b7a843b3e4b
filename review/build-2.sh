#!/bin/sh
# Builds what the scripts of cases 6 to 10 start. The stand-ins are Python and use the
# packages that the deploy file has put into target/deps; so they are only compiled here,
# which shows that each can be imported.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || {
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
PYTHONPATH="$PWD:$PWD/target/deps" python3 - <<'PYTHON'
import importlib

for name in (
    "sequoiahook.platform.__main__",
    "standins.platform_fleet",
    "standins.platform_store",
    "standins.platform_target",
    "review.common_2",
    "review.network_2",
):
    importlib.import_module(name)
PYTHON
