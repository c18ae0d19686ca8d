"""Imports modules from one file of compiled code.

A role loads about 200 modules. The usual import makes some 2,500 system
calls to find them, which on a small VM takes longer than running their
code. The bundle has the code of all modules that the roles load at
build time, and the paths of their extension modules.
"""

import marshal
import os
import sys
from _frozen_importlib_external import ExtensionFileLoader, PathFinder

# Version of the layout of the index; raise it with each change.
FORMAT = 1

# The file starts with the size of the index in this many bytes.
_SIZE_BYTES = 8
_ModuleSpec = type(sys.__spec__)


class BundledModule:
    """Location of one module.

    `offset` and `length` are bytes in the bundle, `origin` is the source
    file. `folder` is the folder of a package and empty for other modules.
    `path` is the file of an extension module and empty for Python code.
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
    """Meta path finder and loader for the modules of one bundle."""

    def __init__(
        self, descriptor: int, modules_by_name: dict[str, BundledModule]
    ) -> None:
        self._descriptor = descriptor
        self._modules_by_name = modules_by_name

    def find_spec(self, name: str, path: object, target: object = None):
        """Return the spec of a module, or None if the bundle lacks it."""
        found = self._modules_by_name.get(name)
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
        """Return None, so that the import system creates the module."""

    def exec_module(self, module) -> None:
        """Run the code of the module in its namespace."""
        found = self._modules_by_name[module.__name__]
        code = os.pread(self._descriptor, found.length, found.offset)
        exec(marshal.loads(code), module.__dict__)


def install_bundle(path: str) -> bool:
    """Import from the bundle first; return whether it can be used.

    A missing bundle, or one of another Python version or layout, leaves
    the usual import unchanged.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return False
    size_field = os.pread(descriptor, _SIZE_BYTES, 0)
    size = int.from_bytes(size_field, 'big')
    index = marshal.loads(os.pread(descriptor, size, _SIZE_BYTES))
    if index['format'] != FORMAT or index['version'] != sys.version:
        os.close(descriptor)
        return False
    start = _SIZE_BYTES + size
    modules = {
        name: BundledModule(offset + start, *location)
        for name, offset, *location in index['modules']
    }
    sys.meta_path.insert(0, BundleFinder(descriptor, modules))
    return True


def write_bundle(path: str, names: list[str]) -> int:
    """Write a bundle of loaded modules and return their number.

    Built-in and frozen modules are left out, because importing them
    reads no file.
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
    versioned = {'format': FORMAT, 'version': sys.version} | index
    encoded_index = marshal.dumps(versioned)
    size = len(encoded_index).to_bytes(_SIZE_BYTES, 'big')
    with open(path, 'wb') as bundle:  # noqa: PTH123
        bundle.write(b''.join((size, encoded_index, code)))


def _find_spec(name: str):
    """Return the spec of the file that a module name stands for.

    Some packages replace a module of theirs in `sys.modules` by another
    one, whose spec has a different name.
    """
    spec = getattr(sys.modules.get(name), '__spec__', None)
    if spec is None or spec.name == name:
        return spec
    parent = sys.modules.get(name.rpartition('.')[0])
    return PathFinder.find_spec(name, getattr(parent, '__path__', None))
