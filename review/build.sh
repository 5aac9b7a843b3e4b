#!/bin/sh
# Builds what the scripts of the cases start beside the deploy file's build: the
# project's stand-ins and the review's own modules. Both are Python and need only the
# packages in target/deps.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q standins review/*.py review/[1-5]/*.py || exit 1
exec python3 -c "import standins.platform_store, standins.platform_target, review.harness"
