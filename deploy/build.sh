#!/bin/sh
# Installs the packages and builds the launcher of an entry instance, both under target/, and compiles
# the modules.
#
# Arguments: build.sh [launcher [FOLDER]]; with "launcher", only that, in FOLDER.
set -eu
cd "$(dirname "$0")/.."
part=${1:-all}
folder=${2:-target/bin}
if [ "$part" = all ] && ! [ target/deps -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
fi
python=$(python3 -c 'import sys; print(sys.executable)')
library=$("$python" - <<'END'
import sysconfig
from pathlib import Path

library = Path(sysconfig.get_config_var("LIBDIR"), sysconfig.get_config_var("INSTSONAME"))
print(library if ".so" in library.name and library.exists() else "")
END
)
if [ "$part" = all ]; then
    # Otherwise each start compiles all modules, as the source folder cannot be written to then.
    "$python" -m compileall -q src
fi
launcher=$folder/sapphireledge-python
mkdir -p "$folder"
rm -f "$launcher"
if command -v cc >/dev/null; then
    cc -O2 -Wall -Wextra -Werror -DPYTHON="\"$python\"" -DPYTHON_LIBRARY="\"$library\"" \
        -o "$launcher" deploy/python_launcher.c -ldl
else
    echo "no C compiler: a signal ends a process whose interpreter is still starting" >&2
    ln -s "$python" "$launcher"
fi
