"""Imports modules from one file of compiled code.

A role loads about 200 modules. The usual import makes some 2,500 system
calls to find them, which on a small VM takes longer than running their
code. The bundle has the code of all modules that the roles load at
build time, and the paths of their extension modules.
"""

import marshal
import os
import sys
from _frozen_importlib_external import ExtensionFileLoader, SourceFileLoader

from .precompiled import PatternTable, SourceTable

# Version of the layout of the index; raise it with each change.
FORMAT = 3

# The file starts with the size of the index in this many bytes.
SIZE_BYTES = 8
ModuleType = type(sys)
_ModuleSpec = type(sys.__spec__)
# These are loaded when an attribute is first used. `h11` is needed after
# the sockets for packets are open, `random` by a balancer's readers of the
# store and for an agent's first retry; the others serve error messages and
# interactive use.
DEFERRED = frozenset(
    ('ast', 'dis', 'h11', 'inspect', 'linecache', 'random', 'tokenize')
)
# What reading a damaged or foreign file raises.
_DAMAGED = (EOFError, KeyError, MemoryError, TypeError, ValueError)


class BundledModule:
    """Location of one module.

    `offset` and `length` are bytes in the bundle, `origin` is the source
    file and empty for a namespace package, which has no code. `folder` is
    the folder of a package and empty for other modules.
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


class DeferredModule(ModuleType):
    """A module whose code runs when an attribute is first used."""

    def __getattr__(self, name: str) -> object:
        """Run the code of the module and return the attribute."""
        self.__class__ = ModuleType
        self.__spec__.loader.run_code(self)
        return getattr(self, name)


class BundleFinder:
    """Meta path finder and loader for the modules of one bundle."""

    def __init__(
        self,
        descriptor: int,
        modules_by_name: dict[str, BundledModule],
        tables: list[PatternTable | SourceTable],
    ) -> None:
        self._descriptor = descriptor
        self._modules_by_name = modules_by_name
        self._tables_by_module = {table.module: table for table in tables}

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
        if not found.origin:
            spec = _ModuleSpec(name, None, is_package=True)
            spec.submodule_search_locations = [found.folder]
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
        """Run the code of the module in its namespace, or defer it."""
        if module.__name__ in DEFERRED:
            module.__class__ = DeferredModule
        else:
            self.run_code(module)

    def run_code(self, module) -> None:
        """Run the code of the module in its namespace."""
        found = self._modules_by_name[module.__name__]
        code = os.pread(self._descriptor, found.length, found.offset)
        try:
            loaded = marshal.loads(code)
        except _DAMAGED as error:
            _report_unusable(found.origin, f'bundled code is damaged: {error}')
            loaded = _compile_source(module.__name__, found.origin)
        exec(loaded, module.__dict__)
        table = self._tables_by_module.get(module.__name__)
        if table is not None:
            table.install(module)


def install_bundle(path: str) -> bool:
    """Import from the bundle first; return whether it can be used.

    A bundle that is missing, cut short or unreadable, or that is of another
    Python version or layout, leaves the usual import unchanged. The file
    and the reason are then written on standard error, in one line.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except OSError as error:
        return _report_unusable(path, error.strerror)
    try:
        finder = _read_index(descriptor)
    except _DAMAGED as error:
        os.close(descriptor)
        return _report_unusable(path, f'{type(error).__name__}: {error}')
    sys.meta_path.insert(0, finder)
    return True


def _read_index(descriptor: int) -> BundleFinder:
    """Return the finder for the modules of an open bundle.

    Raises one of `_DAMAGED` if the file is not a whole bundle of this
    layout and Python version.
    """
    size = int.from_bytes(os.pread(descriptor, SIZE_BYTES, 0), 'big')
    start = SIZE_BYTES + size
    file_bytes = os.fstat(descriptor).st_size
    if start > file_bytes:
        raise EOFError(f'{file_bytes} bytes are shorter than the index')
    index = marshal.loads(os.pread(descriptor, size, SIZE_BYTES))
    if index['format'] != FORMAT:
        raise ValueError(f'layout {index["format"]}, not {FORMAT}')
    _check_version(index['version'])
    if start + index['code_bytes'] != file_bytes:
        raise EOFError(f'{file_bytes} bytes are not the whole bundle')
    modules_by_name = {
        name: BundledModule(offset + start, *location)
        for name, offset, *location in index['modules']
    }
    tables = [PatternTable(index['patterns']), SourceTable(index['sources'])]
    return BundleFinder(descriptor, modules_by_name, tables)


def _check_version(version: str) -> None:
    if version != sys.version:
        raise ValueError(f'written by Python {version}')


def _report_unusable(path: str, reason: str) -> bool:
    """Write which file is not used and why; return False."""
    line = ' '.join(f'{path} is not used: {reason}'.split())
    sys.stderr.write(f'{line}; modules are imported from their sources\n')
    return False


def _compile_source(name: str, origin: str):
    return SourceFileLoader(name, origin).get_code(name)
