#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs without
# dependencies, so that compiling them is all there is to do. The deploy file's
# build comes first.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q lib3 11 12 13 14 15
