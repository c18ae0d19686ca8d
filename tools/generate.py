"""Generates the modules of `greengagepath/generated` from the schemas.

`tools/generate.py` writes the modules. With `--check` it writes nothing
and fails if a committed module differs from the generated one.
"""

import re
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_DIR = ROOT / 'schema'
GENERATED_DIR = ROOT / 'greengagepath' / 'generated'
# Struct of the root object of a schema, which has no fields.
ROOT_STRUCT = re.compile(
    r'^class (?:Messages|\w+File)\(Struct\):\n    """\n.*\n    """\n\n\n',
    re.MULTILINE,
)
TYPING_IMPORT = re.compile('^from typing import .*\n', re.MULTILINE)
BIN_DIR = Path(sys.executable).parent
# Structs whose fields all have defaults; used if the object is absent.
DEFAULTED_STRUCTS = ('Limits', 'LogSettings', 'LimitSettings')


def generate_module(schema: Path, target: Path) -> None:
    """Write the module of one schema file to `target`."""
    subprocess.run(
        [
            str(BIN_DIR / 'datamodel-codegen'),
            f'--input={schema}',
            '--input-file-type=jsonschema',
            f'--output={target}',
            '--output-model-type=msgspec.Struct',
            '--target-python-version=3.11',
            '--use-schema-description',
            '--use-annotated',
            '--disable-timestamp',
            '--use-union-operator',
            '--use-standard-collections',
            '--collapse-root-models',
            '--enum-field-as-literal=none',
            '--wrap-string-literal',
        ],
        check=True,
        capture_output=True,
    )
    target.write_text(adapt_structs(target.read_text(), schema.name))
    subprocess.run(
        [
            str(BIN_DIR / 'ruff'),
            'format',
            '--quiet',
            '--isolated',
            '--line-length=80',
            '--config=format.quote-style="single"',
            str(target),
        ],
        check=True,
    )


def adapt_structs(source: str, schema_name: str) -> str:
    """Make structs frozen and keyword-only; replace `UNSET` defaults."""
    header = f'"""Generated from schema/{schema_name}; do not edit."""\n\n'
    body = re.sub(r'^#.*\n', '', source, flags=re.MULTILINE).lstrip()
    body = ROOT_STRUCT.sub('', body, count=1)
    body = body.replace('(Struct):', '(Struct, frozen=True, kw_only=True):')
    body = re.sub(r'\s*\|\s*UnsetType', '', body)
    for name in DEFAULTED_STRUCTS:
        body = body.replace(
            f': {name} = UNSET',
            f': {name} = field(default_factory={name})',
        )
    body = re.sub(r': (\w+) = UNSET', r': \1 | None = None', body)
    body = re.sub(r': bytes = (""|\'\')', ': bytes = b""', body)
    body = re.sub(r'^from msgspec import .*\n', '', body, flags=re.MULTILINE)
    import_line = 'from msgspec import Meta, Struct, field\n'
    body = TYPING_IMPORT.sub(rf'\g<0>\n{import_line}', body, count=1)
    return header + body


def check_generated() -> int:
    """Return 1 if a committed module is out of date, else 0."""
    stale = []
    with tempfile.TemporaryDirectory() as folder:
        for schema in sorted(SCHEMA_DIR.glob('*.json')):
            fresh = Path(folder) / f'{schema.stem}.py'
            generate_module(schema, fresh)
            committed = GENERATED_DIR / fresh.name
            if (
                not committed.exists()
                or committed.read_text() != fresh.read_text()
            ):
                stale.append(committed.name)
    if stale:
        print('out of date, run `make generate`:', ', '.join(stale))
    return 1 if stale else 0


def main() -> int:
    """Write the modules, or check them with `--check`."""
    if '--check' in sys.argv[1:]:
        return check_generated()
    for schema in sorted(SCHEMA_DIR.glob('*.json')):
        generate_module(schema, GENERATED_DIR / f'{schema.stem}.py')
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
