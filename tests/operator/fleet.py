"""Control planes of three balancers and an agent, for `test_fleet`.

Run as `python -m gevent.monkey fleet.py [FOLDER]`; ends when its
standard input is closed. The first line of output is a JSON object with
the ports. If FOLDER with certificate files is given, links use TLS.
"""

import json
import random
import sys
import time

from gevent.fileobject import FileObject
from msgspec import structs

from greengagepath.daemon.control import AgentControl, BalancerControl
from greengagepath.daemon.route_answers import RouteAnswers
from greengagepath.foundation.timers import LoopTimerService
from greengagepath.foundation.tls import TlsContexts
from greengagepath.generated.settings import TlsSettings
from greengagepath.protocol.tags import Key, KeyRing
from greengagepath.routing.choice import ChooserServices, Place
from greengagepath.routing.choosers import ServiceChoosers
from tests.control.http_store import HttpStore
from tests.control.processes import (
    HOST,
    free_ports,
    make_agent_record,
    make_settings,
)
from tests.operator.builders import SECRET, build_services


def make_tls(folder):
    names = ('certificate_file', 'key_file', 'authority_file')
    paths = {name: f'{folder}/{name}' for name in names}
    return TlsContexts(TlsSettings(**paths))


def run_balancer(settings, keys, timers, tls):
    """Return a control plane with the choosers of a data path."""
    place = Place(settings.node.region, settings.node.availability_zone)
    choosers = ServiceChoosers(
        ChooserServices(place, timers, random.SystemRandom())
    )
    answers = RouteAnswers(
        settings.node, choosers, lambda: control.configuration
    )
    control = BalancerControl(
        settings,
        keys,
        timers,
        choosers.update_targets,
        lambda found: None,
        tls,
        answers.answer,
    )
    return control


def run_fleet(tls=None):
    object_port, agent_port, *ports = free_ports(5)
    store = HttpStore()
    store.serve(HOST, object_port)
    keys = KeyRing([Key(1, bytes.fromhex(SECRET))], time.time)
    timers = LoopTimerService()
    timers.start()
    members = [
        run_balancer(
            make_settings(f'b{port}', 'balancer', port, object_port),
            keys,
            timers,
            tls,
        )
        for port in ports
    ]
    members.append(
        AgentControl(
            make_settings('a1', 'agent', agent_port, object_port),
            keys,
            timers,
            structs.replace(
                make_agent_record('a1', agent_port),
                service_id=build_services()[0].service_id,
            ),
            lambda service: None,
            tls,
        )
    )
    for member in members:
        member.start()
    ports_json = json.dumps({'object_api': object_port, 'balancers': ports})
    sys.stdout.write(f'{ports_json}\n')
    sys.stdout.flush()
    FileObject(sys.stdin).read()


if __name__ == '__main__':
    run_fleet(*map(make_tls, sys.argv[1:]))
