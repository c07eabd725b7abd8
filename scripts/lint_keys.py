"""Prints a line "KEY FILE" for each source that was compiled.

The key is a hash over the file, the project's headers that it includes and
the rules. Reads the output of `ninja -t deps` from standard input.
"""

import hashlib
import os
import sys

root = os.getcwd()
build = os.path.join(root, sys.argv[1])
rules = [".clang-tidy", "CMakeLists.txt", "tests/CMakeLists.txt"]


def project_path(text):
    """Returns the path relative to the root, or nothing for system headers."""
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
    parts = [name + digest(name) for name in sorted(set(inputs)) + rules]
    key = hashlib.sha256("\n".join(parts).encode()).hexdigest()[:32]
    print(key, path)
