#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1
exec python3 -m "review.$(basename "$folder").case"
