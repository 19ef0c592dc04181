#!/usr/bin/env bash
# Builds what the scripts start: the stand-ins are Python, so they are compiled
# to see that they can be loaded with what the deploy file's build has placed.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review chicorystack/platform/standin
PYTHONPATH=target/deps:. python3 -c "import chicorystack.platform.standin.main"
