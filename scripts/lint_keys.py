"""Prints a line "KEY FILE" for each compiled source.

The key is a hash of the file, the project headers that it includes and the
configuration files. Reads the output of `ninja -t deps` from standard input.
"""

import hashlib
import os
import sys

root = os.getcwd()
build = os.path.join(root, sys.argv[1])
config_files = [".clang-tidy", "CMakeLists.txt", "tests/CMakeLists.txt"]


def project_path(text):
    """Returns the path relative to the root, or None for files outside the sources."""
    path = os.path.normpath(os.path.join(build, text))
    if not path.startswith(root + os.sep) or path.startswith(build + os.sep):
        return None
    return os.path.relpath(path, root)


files = {}
current = None
for line in sys.stdin:
    if not line.startswith(" "):
        current = []
        continue
    path = project_path(line.strip())
    if path is None or not os.path.exists(path):
        continue
    current.append(path)
    if path.endswith(".cpp"):
        files[path] = current

digests = {}


def digest(path):
    if path not in digests:
        with open(path, "rb") as source:
            digests[path] = hashlib.sha256(source.read()).hexdigest()
    return digests[path]


for path, inputs in sorted(files.items()):
    parts = [name + digest(name) for name in sorted(set(inputs)) + config_files]
    key = hashlib.sha256("\n".join(parts).encode()).hexdigest()[:32]
    print(key, path)
