"""Settings files and services for the tests of the operator tools."""

import os
from pathlib import Path

from msgspec import structs

from greengagepath.configuration.derivation import derive_services
from greengagepath.configuration.questionnaire import load_answers
from greengagepath.generated.messages import MemberRecord

SECRET = 'ab' * 32
OTHER_SECRET = 'cd' * 32
SETTINGS = """
role = "balancer"

[node]
member_id = "balancer-1"
host = "127.0.0.1"
data_port = 4000
control_port = 4001
region = "perth"
availability_zone = "perth-a"

[object_api]
url = "http://127.0.0.1:4100"

[fabric]
host = "127.0.0.1"
port = 4200

[[keys]]
key_id = 1
secret_file = "tag.key"
"""


def write_settings(folder, text=SETTINGS, secret=SECRET):
    """Write a settings file and its key file; return the settings path."""
    Path(folder, 'tag.key').write_text(f'{secret}\n')
    path = Path(folder, 'settings.toml')
    path.write_text(text)
    return path


def age_file(path, seconds=10):
    """Set the modification time of a file back by some seconds."""
    status = Path(path).stat()
    changed_s = status.st_mtime - seconds
    os.utime(path, (changed_s, changed_s))


ROOT = Path(__file__).resolve().parents[2]
COOPERATIVE = ROOT / 'examples' / 'cooperative.answers.toml'
JINHUA = ROOT / 'examples' / 'jinhua.answers.toml'


def build_services(name=COOPERATIVE):
    """Return the services derived from a file of answers."""
    return derive_services(load_answers(name).unwrap())


def replace_limits(service, **limits):
    """Return a copy of the service with some limits changed."""
    changed = structs.replace(service.limits, **limits)
    return structs.replace(service, limits=changed)


def build_target(member_id, zone, service_id, **fields):
    """Return the member record of a target in an availability zone."""
    defaults = {
        'kind': 'agent',
        'host': '127.0.0.1',
        'data_port': 1,
        'control_port': 0,
        'region': 'perth',
        'incarnation': 1,
        'record_version': 1,
        'state': 'alive',
    }
    return MemberRecord(
        member_id=member_id,
        availability_zone=zone,
        service_id=service_id,
        **{**defaults, **fields},
    )


def write_tool_settings(folder, url, *balancers):
    """Write settings of the tool and its key file; return their path.

    `balancers` are addresses such as `127.0.0.1:4001`.
    """
    named = ', '.join(f'"{address}"' for address in balancers)
    keys = SETTINGS.split('[[keys]]')[1]
    return write_settings(
        folder,
        f'balancers = [{named}]\n[object_api]\nurl = "{url}"\n[[keys]]{keys}',
    )


def reload_changed(files) -> bool:
    """Run the check that daemons run once a second.

    Returns True if changed files were loaded and are now in use.
    """
    return files.has_changed() and files.reload()
