import json

import msgspec

from greengagepath.configuration.drains import keep_drained_targets
from greengagepath.foundation.exit_codes import ExitCode
from greengagepath.foundation.settings import load_tool_settings
from greengagepath.generated.messages import Service
from greengagepath.protocol.keys import load_keys

from .builders import build_services, build_target, write_tool_settings
from .stand_ins import Balancer, ObjectApi
from .test_cli import CURRENT, CommandTest

CORE, DESK = [service.service_id for service in build_services()]
ENTRY = 'availability_zone=perth-b'


class ZoneDrainTest(CommandTest):
    def setUp(self):
        super().setUp()
        self.api = ObjectApi()
        self.addCleanup(self.api.close)
        self.settings = write_tool_settings(self.folder, self.api.url)
        keys = load_keys(load_tool_settings(self.settings).unwrap()).unwrap()
        self.balancer = Balancer(keys)
        self.addCleanup(self.balancer.close)
        self.balancer.targets = [
            build_target('core-1', 'perth-a', CORE),
            build_target('core-2', 'perth-b', CORE),
            build_target('desk-1', 'perth-b', DESK),
        ]
        write_tool_settings(self.folder, self.api.url, self.balancer.name)
        self.init()
        self.run_tool('apply', self.file)

    def run_tool(self, command, *arguments):
        return self.run_command(
            command, *arguments, '--settings', self.settings, '--wait-s', 1
        )

    def get_drained(self):
        services = self.api.objects[CURRENT]['body']['services']
        return [service['drained_targets'] for service in services]

    def write_as_other_operator(self):
        stored = self.api.objects[CURRENT]
        for service in stored['body']['services']:
            service['drained_targets'] = [ENTRY]
        stored['body']['operation_id'] = 'other'
        stored['version'] += 1

    def test_drain_of_a_zone_persists_across_apply(self):
        # Guards against an `apply` that returns an evacuated zone to
        # service, and against a drain that leaves out a service.
        code = self.run_tool('drain', '--zone', 'perth-b')
        self.assertEqual(ExitCode.OK, code)
        text = self.file.read_text()
        edited = text.replace('queue_length = 200', 'queue_length = 100')
        self.file.write_text(edited)
        self.assertEqual(ExitCode.OK, self.run_tool('apply', self.file))
        self.assertEqual([[ENTRY], [ENTRY]], self.get_drained())
        self.assertEqual(3, self.balancer.version)
        code = self.run_tool('undrain', '--zone', 'perth-b')
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual([[], []], self.get_drained())

    def test_service_limits_the_drain(self):
        # Guards against --service being ignored, which would evacuate the
        # zone for services that should stay.
        code = self.run_tool(
            'drain', '--zone', 'perth-b', '--service', 'licence-core'
        )
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual([[ENTRY], []], self.get_drained())
        self.assertEqual('', self.err.getvalue())

    def test_target_drained_by_id_stays_drained(self):
        # Guards against a faulty target that gets work again because its
        # zone is taken back into service.
        self.run_tool('drain', 'core-2')
        self.run_tool('drain', '--zone', 'perth-b')
        self.assertEqual([[ENTRY, 'core-2'], [ENTRY]], self.get_drained())
        self.run_tool('undrain', '--zone', 'perth-b')
        self.assertEqual([['core-2'], []], self.get_drained())

    def test_unknown_zone_lists_the_known_ones(self):
        # Guards against a misspelt zone that is stored, so that the
        # operator takes the real one for evacuated.
        for command in ('drain', 'undrain'):
            code = self.run_tool(command, '--zone', 'perth-z')
            self.assertEqual(ExitCode.BAD_USAGE, code)
            message = 'zone perth-z; known zones: perth-a, perth-b'
            self.assertIn(message, self.err.getvalue())
        self.assertEqual(1, self.api.writes)

    def test_drain_needs_a_balancer_and_undrain_does_not(self):
        # Guards against a drain of a zone that could not be checked, and
        # against a drained zone that cannot be taken back because its
        # balancers are gone.
        self.run_tool('drain', '--zone', 'perth-b')
        self.balancer.close()
        code = self.run_tool('drain', '--zone', 'perth-a')
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn('no balancer answered', self.err.getvalue())
        self.assertEqual([[ENTRY], [ENTRY]], self.get_drained())
        self.run_tool('undrain', '--zone', 'perth-b')
        self.assertEqual([[], []], self.get_drained())

    def test_warning_when_nothing_is_left(self):
        # Guards against an operator who takes all targets of a service
        # out of service without being told.
        self.run_tool('drain', 'core-1')
        code = self.run_tool('drain', '--zone', 'perth-b', '--json')
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual(1, json.loads(self.out.getvalue())['in_force'])
        for name in ('licence-core', 'report-desk'):
            self.assertIn(
                f'all targets of {name} are drained', self.err.getvalue()
            )

    def test_second_of_two_operators_gets_a_conflict(self):
        # Guards against an evacuation that is lost without an error when
        # two operators read the same version and both write.
        self.api.before_write = self.write_as_other_operator
        code = self.run_tool('drain', '--zone', 'perth-a')
        self.assertEqual(ExitCode.CONFLICT, code)
        self.assertEqual([[ENTRY], [ENTRY]], self.get_drained())

    def test_route_names_a_process_that_does_not_answer(self):
        # Guards against a `route` that hides a balancer of an earlier
        # build, or one that is down, and reports success.
        code = self.run_command(
            'route', 'licence-core', '--settings', self.settings
        )
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn(
            f'{self.balancer.name} did not answer', self.err.getvalue()
        )

    def test_targets_and_zones_are_not_mixed(self):
        # Guards against a drain of the wrong set of targets, and against
        # an id that is stored as a zone without the check of its name.
        for arguments in ((), ('core-1', '--zone', 'perth-b'), (ENTRY,)):
            code = self.run_tool('drain', *arguments)
            self.assertEqual(ExitCode.BAD_USAGE, code)
        self.assertEqual(1, self.api.writes)

    def test_service_added_during_an_evacuation_is_drained(self):
        # Guards against a new service that starts in an evacuated zone.
        core, desk = build_services()
        held = msgspec.structs.replace(core, drained_targets=[ENTRY, 'core-1'])
        kept = keep_drained_targets([held], [core, desk])
        self.assertEqual(
            [[ENTRY, 'core-1'], [ENTRY]],
            [entry.drained_targets for entry in kept],
        )

    def test_encoding_is_that_of_earlier_builds(self):
        # Guards against a new field of a service: earlier builds would
        # drop it when they pass a version on, and the digests in the
        # files of operators would change.
        service = Service(name='s', service_id=1, host='10.0.0.1', port=80)
        encoded = msgspec.to_builtins(service)
        encoded.pop('limits')
        self.assertEqual(
            {
                'name': 's',
                'service_id': 1,
                'host': '10.0.0.1',
                'port': 80,
                'operations': [],
                'customers': [],
                'objectives': [],
                'drained_targets': [],
            },
            encoded,
        )
