import io
import sys
from contextlib import redirect_stdout

from prompt_toolkit.application import create_app_session
from prompt_toolkit.input import create_pipe_input
from prompt_toolkit.output import DummyOutput
from testtools import TestCase

from greengagepath.cli.init import check_answers
from greengagepath.cli.prompts import Cancelled, ask_answers

ENTER = '\r'
CTRL_C = '\x03'
# Ctrl-U; removes the default that the prompt is filled in with.
ERASE_LINE = '\x15'
DEFAULT = ''
CUSTOMER = ('firm', DEFAULT)
SERVICE = ('core', '10.0.0.5', '7000', '3', DEFAULT, DEFAULT)
SIZES = ('20', '2000', DEFAULT, DEFAULT, DEFAULT, DEFAULT, DEFAULT)


def type_lines(*lines):
    return ''.join(f'{line}{ENTER}' for line in lines)


def type_operation(name, *, idempotent='y', sizes=SIZES):
    # Enter selects GET, the first of the methods.
    path = type_lines(name, DEFAULT, f'/{name}')
    return f'{path}{idempotent}{type_lines(*sizes)}'


class PromptsTest(TestCase):
    def ask(self, typed):
        with create_pipe_input() as pipe:
            pipe.send_text(typed)
            with create_app_session(input=pipe, output=DummyOutput()):
                return ask_answers()

    def test_typed_answers_equal_those_of_a_file(self):
        # Guards against prompts that omit a question that a file answers.
        answers = self.ask(
            ''.join(
                (
                    type_lines('team', *CUSTOMER),
                    'y',
                    type_lines('other', f'{ERASE_LINE}2.5'),
                    'n',
                    type_lines(*SERVICE),
                    type_operation('look-up'),
                    'nn',
                )
            )
        )
        self.assertEqual(
            [('firm', 1.0), ('other', 2.5)],
            [(entry.name, entry.share) for entry in answers.customers],
        )
        operation = answers.services[0].operations[0]
        self.assertEqual('GET', operation.method)
        self.assertTrue(operation.idempotent)
        self.assertEqual(2000, operation.deadline_ms)
        self.assertTrue(check_answers(answers).is_ok())

    def test_contradiction_names_the_question(self):
        # Guards against typed answers that skip the checks of a file.
        answers = self.ask(
            ''.join(
                (
                    type_lines('team', *CUSTOMER),
                    'n',
                    type_lines(*SERVICE),
                    type_operation('look-up', idempotent='n'),
                    'nn',
                )
            )
        )
        problems = check_answers(answers).unwrap_err()
        self.assertEqual(1, len(problems))
        self.assertIn('services[0].operations[0].idempotent', problems[0])

    def test_value_out_of_range_is_asked_again(self):
        # Guards against an invalid answer that is reported only after all
        # questions.
        too_large = f'70000{ENTER}'
        answers = self.ask(
            ''.join(
                (
                    type_lines('team', *CUSTOMER),
                    'n',
                    type_lines('core', '10.0.0.5'),
                    too_large,
                    type_lines(f'{ERASE_LINE}7000', '3', DEFAULT, DEFAULT),
                    type_operation('look-up'),
                    'nn',
                )
            )
        )
        self.assertEqual(7000, answers.services[0].port)

    def test_interrupt_ends_the_questionnaire(self):
        # Guards against an incomplete file written after Ctrl-C.
        with redirect_stdout(io.StringIO()):
            self.assertRaises(Cancelled, self.ask, CTRL_C)
        self.assertIs(sys.__stdout__.closed, False)
