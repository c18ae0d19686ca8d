"""Imports modules from one file of compiled code.

A role loads about 200 modules. Found one by one they cost some 2,500
calls to the kernel, which on a small VM take longer than the code
itself. The bundle holds the code of all modules that a role has loaded
at build time and the paths of its extension modules.
"""

import marshal
import os
import sys
from _frozen_importlib_external import ExtensionFileLoader, PathFinder

# Changes whenever the layout of the index does.
FORMAT = 1

# Bytes of the size of the index at the start of the file.
_SIZE_BYTES = 8
_ModuleSpec = type(sys.__spec__)


class BundledModule:
    """Where the code of a module lies in the bundle.

    `folder` is that of a package and empty for plain modules; `path` is
    the file of an extension module and empty for code.
    """

    __slots__ = ('folder', 'length', 'offset', 'origin', 'path')

    def __init__(
        self, offset: int, length: int, origin: str, folder: str, path: str
    ) -> None:
        self.offset = offset
        self.length = length
        self.origin = origin
        self.folder = folder
        self.path = path


class BundleFinder:
    """Meta path finder and loader of one bundle."""

    def __init__(
        self, descriptor: int, module_by_name: dict[str, BundledModule]
    ) -> None:
        self._descriptor = descriptor
        self._module_by_name = module_by_name

    def find_spec(self, name: str, path: object, target: object = None):
        """Return the spec of a module in the bundle, else None."""
        found = self._module_by_name.get(name)
        if found is None:
            return None
        if found.path:
            loader = ExtensionFileLoader(name, found.path)
            spec = _ModuleSpec(name, loader, origin=found.path)
            spec.has_location = True
            return spec
        spec = _ModuleSpec(
            name, self, origin=found.origin, is_package=bool(found.folder)
        )
        if found.folder:
            spec.submodule_search_locations = [found.folder]
        spec.has_location = True
        return spec

    def create_module(self, spec: object) -> None:
        """Take the default module."""

    def exec_module(self, module) -> None:
        """Run the code of the module."""
        found = self._module_by_name[module.__name__]
        code = os.pread(self._descriptor, found.length, found.offset)
        exec(marshal.loads(code), module.__dict__)


def install_bundle(path: str) -> bool:
    """Import from the bundle first; False if it does not fit.

    A missing bundle, or one of another Python or layout, leaves the
    usual import in place.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return False
    size_head = os.pread(descriptor, _SIZE_BYTES, 0)
    size = int.from_bytes(size_head, 'big')
    index = marshal.loads(os.pread(descriptor, size, _SIZE_BYTES))
    if index['format'] != FORMAT or index['version'] != sys.version:
        os.close(descriptor)
        return False
    start = _SIZE_BYTES + size
    modules = {
        name: BundledModule(offset + start, *located)
        for name, offset, *located in index['modules']
    }
    sys.meta_path.insert(0, BundleFinder(descriptor, modules))
    return True


def write_bundle(path: str, names: list[str]) -> int:
    """Write the given loaded modules; return how many were written.

    Builtin and frozen modules are left out, since they need no file.
    """
    entries: list[tuple[str, int, int, str, str, str]] = []
    code = b''
    for name in sorted(names):
        spec = _find_spec(name)
        loader = getattr(spec, 'loader', None)
        if isinstance(loader, ExtensionFileLoader):
            entries.append((name, 0, 0, '', '', loader.path))
        elif hasattr(loader, 'get_code') and spec.has_location:
            compiled = marshal.dumps(loader.get_code(name))
            folder = (spec.submodule_search_locations or [''])[0]
            entries.append(
                (name, len(code), len(compiled), spec.origin, folder, '')
            )
            code += compiled
    _write(path, {'modules': entries}, code)
    return len(entries)


def _write(path: str, index: dict[str, object], code: bytes) -> None:
    stamped = {'format': FORMAT, 'version': sys.version} | index
    head = marshal.dumps(stamped)
    size = len(head).to_bytes(_SIZE_BYTES, 'big')
    with open(path, 'wb') as bundle:  # noqa: PTH123
        bundle.write(b''.join((size, head, code)))


def _find_spec(name: str):
    """Return the spec of a loaded module's own file.

    Some packages put another module under the name of one of theirs.
    """
    spec = getattr(sys.modules.get(name), '__spec__', None)
    if spec is None or spec.name == name:
        return spec
    parent = sys.modules.get(name.rpartition('.')[0])
    return PathFinder.find_spec(name, getattr(parent, '__path__', None))
