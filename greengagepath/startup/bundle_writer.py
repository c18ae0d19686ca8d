"""Writes the bundle that `module_bundle` imports from."""

import ast
import marshal
import os
import sys
from _frozen_importlib_external import (
    ExtensionFileLoader,
    NamespaceLoader,
    PathFinder,
)
from types import ModuleType

from .module_bundle import FORMAT, SIZE_BYTES
from .precompiler import compile_loaded_patterns

# Name, offset and length of the code, source file, folder of a package, and
# file of an extension module; see `BundledModule`.
Entry = tuple[str, int, int, str, str, str]
_DATA_CLASS = b'dataclass'


def write_bundle(
    path: str,
    names: list[str],
    code_by_source: dict[str, object] | None = None,
) -> int:
    """Write a bundle of loaded modules and return their number.

    `code_by_source` has the functions that data classes compile.

    Built-in and frozen modules are left out, because importing them
    reads no file.
    """
    entries: list[Entry] = []
    code = b''
    for name in sorted(names):
        written = _write_module(name, len(code))
        if written is not None:
            entries.append(written[0])
            code += written[1]
    index = {
        'modules': entries,
        'patterns': compile_loaded_patterns(),
        'sources': code_by_source or {},
    }
    _write(path, index, code)
    return len(entries)


def _write_module(name: str, offset: int) -> tuple[Entry, bytes] | None:
    """Return the entry of a module in the index, and its code.

    `offset` is where the code will be.
    """
    spec = _find_spec(name)
    loader = getattr(spec, 'loader', None)
    if isinstance(loader, ExtensionFileLoader):
        return (name, 0, 0, '', '', loader.path), b''
    if isinstance(loader, NamespaceLoader):
        # A namespace package is found through `sys.path` only, where the
        # folder of the libraries need not be.
        folder = next(iter(spec.submodule_search_locations))
        return (name, 0, 0, '', folder, ''), b''
    if not (hasattr(loader, 'get_code') and spec.has_location):
        return None
    compiled = marshal.dumps(_compile(loader, name, spec.origin))
    folder = (spec.submodule_search_locations or [''])[0]
    entry = (name, offset, len(compiled), spec.origin, folder, '')
    return entry, compiled


def _compile(loader, name: str, origin: str):
    """Return the code of a module without assertions and docstrings.

    Decoding takes less time without docstrings.
    """
    source = loader.get_data(origin) if origin.endswith('.py') else None
    if source is None:
        return loader.get_code(name)
    if _DATA_CLASS in source:
        compiled = loader.source_to_code(
            _add_docstrings(sys.modules[name], source), origin
        )
    else:
        compiled = loader.source_to_code(source, origin, _optimize=2)
    # Code that has been decoded once is encoded with fewer copies of equal
    # constants.
    return marshal.loads(marshal.dumps(compiled))


def _add_docstrings(module: ModuleType, source: bytes) -> ast.Module:
    """Return the module's syntax tree with a docstring in each class.

    `dataclass` derives a missing one from the signature, which loads
    `inspect`. The derived one is taken from the loaded class.
    """
    tree = ast.parse(source)
    for node in tree.body:
        if isinstance(node, ast.ClassDef) and ast.get_docstring(node) is None:
            derived = getattr(module, node.name).__doc__
            if isinstance(derived, str):
                node.body.insert(0, ast.Expr(ast.Constant(derived)))
    return ast.fix_missing_locations(tree)


def _write(path: str, index: dict[str, object], code: bytes) -> None:
    """Replace the bundle atomically.

    A process that starts meanwhile reads either file whole, and one that
    has the replaced file open goes on to read it.
    """
    versioned = {
        'format': FORMAT,
        'version': sys.version,
        'code_bytes': len(code),
    } | index
    encoded_index = marshal.dumps(versioned)
    size = len(encoded_index).to_bytes(SIZE_BYTES, 'big')
    written_path = f'{path}.{os.getpid()}'
    with open(written_path, 'wb') as bundle:  # noqa: PTH123
        bundle.write(b''.join((size, encoded_index, code)))
    os.replace(written_path, path)  # noqa: PTH105


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
