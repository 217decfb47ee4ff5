#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python files that need
# the standard library only, so they are just compiled, as a check.
cd "$(dirname "$0")" && exec python3 - <<'END'
import glob

for path in ["second/world.py", *glob.glob("[6-9]/case.py"), "10/case.py"]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
