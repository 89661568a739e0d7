"""Steps about configuration: the command over a fleet on loopback."""

import contextlib
import io
import json
import os
import tempfile

import trio
from behave import given, then, when

from lentilspool.programs import config as program
from standins import _fleet, _platform

ADDRESS = '127.0.0.1'
LIMIT_S = 10
POLL_S = 0.05


def run_command(context, *arguments):
    context.output = io.StringIO()
    context.errors = io.StringIO()
    with contextlib.redirect_stdout(context.output):
        with contextlib.redirect_stderr(context.errors):
            context.status = program.run(arguments)


def run_with_patch(context, name, patch, *arguments):
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, 'patch.jsonc')
        with open(path, 'w', encoding='utf-8') as file:
            file.write(f'// a patch\n{patch}')
        service = context.fleet.platform.configuration_url
        run_command(
            context,
            name,
            path,
            f'--service={service}',
            '--author=ana',
            *arguments,
        )


def list_processes(context, *others):
    listed = [
        {
            'name': name,
            'address': ADDRESS,
            'dump_port': port,
            'zone': 'zone-0',
            'state': 'live',
        }
        for name, (_, port) in context.fleet.entries.items()
    ]
    context.loop.call(context.hosts.publish, [*listed, *others])


async def version_of(fleet, entry):
    reply = await fleet.get(entry, '/dump')
    return reply.plain['configuration']['version']


async def until_version(fleet, entry, version):
    with trio.fail_after(LIMIT_S):
        while await version_of(fleet, entry) != version:
            await trio.sleep(POLL_S)


@given('a list of the processes for operators')
def given_list(context):
    context.hosts = _platform.HostList()
    server = context.loop.run(context.fleet._serve, context.hosts)
    context.hosts_url = f'http://{ADDRESS}:{server.port}'
    list_processes(context)


@given('a listed process that does not answer')
def given_gone(context):
    gone = {
        'name': 'gone',
        'address': ADDRESS,
        'dump_port': _fleet.free_port(),
        'zone': 'zone-0',
        'state': 'live',
    }
    list_processes(context, gone)


@given('another operator publishes {patch} just before')
def given_race(context, patch):
    service = context.fleet.configuration
    publish = service.publish

    def publish_after_another(entry):
        service.publish = publish
        publish({**entry, 'author': 'bor', 'merge': json.loads(patch)})
        publish(entry)

    service.publish = publish_after_another


@when('the patch {patch} is submitted')
def when_submitted(context, patch):
    run_with_patch(context, 'submit', patch)


@when('the patch {patch} against version {version:d} is checked')
def when_checked(context, patch, version):
    run_with_patch(
        context,
        'check',
        patch,
        f'--against={version}',
        f'--hosts={context.hosts_url}',
    )


@when('the diff of {patch} is shown')
def when_diff(context, patch):
    run_with_patch(context, 'diff', patch)


@when('the service shows nothing new')
def when_stale(context):
    context.loop.call(context.fleet.configuration.set_mode, 'stale')


@when('the service is rewound to its base')
def when_rewound(context):
    service = context.fleet.configuration

    def rewind():
        service.set_mode('stale')
        service._shown = 0

    context.loop.call(rewind)


@when('the service goes down')
def when_down(context):
    context.loop.call(context.fleet.configuration.set_mode, 'down')


@when('waiting for version {version:d} has ended')
def when_waited(context, version):
    run_command(context, 'wait', str(version), f'--hosts={context.hosts_url}')
    assert context.status == 0, context.output.getvalue()


@when('version {version:d} is waited for during {seconds:d} second')
def when_wait_limited(context, version, seconds):
    run_command(
        context,
        'wait',
        str(version),
        f'--hosts={context.hosts_url}',
        f'--timeout_s={seconds}',
    )


@when('the command "{arguments}" is run')
def when_run(context, arguments):
    run_command(context, *arguments.split())


@then('the command prints "{text}"')
def then_prints(context, text):
    shown = context.output.getvalue() + context.errors.getvalue()
    assert text in shown, shown


@then('waiting for version {version:d} ends with status 0 and "{text}"')
def then_waited(context, version, text):
    when_waited(context, version)
    assert text in context.output.getvalue(), context.output.getvalue()


@then('the status is not 0 and the history has {count:d} entries')
def then_history(context, count):
    assert context.status != 0
    service = context.fleet.platform.configuration_url
    run_command(context, 'history', f'--service={service}')
    assert len(context.output.getvalue().splitlines()) == count


@then('every process holds version {version:d}')
def then_every_process(context, version):
    for entry in context.fleet.entries:
        context.loop.run(until_version, context.fleet, entry, version)


@then('the history shows "{text}"')
def then_history_shows(context, text):
    service = context.fleet.platform.configuration_url
    run_command(context, 'history', f'--service={service}')
    assert text in context.output.getvalue(), context.output.getvalue()


@then('the status is not 0 and one line is on the error stream')
def then_failed(context):
    assert context.status != 0
    lines = context.errors.getvalue().splitlines()
    assert len(lines) == 1, lines


@then('the status is {status:d} and one line is on the error stream')
def then_status(context, status):
    then_failed(context)
    assert context.status == status


@then('a new entry becomes ready with version {version:d}')
def then_new_entry(context, version):
    context.loop.run(context.fleet.add_entry, 'entry-new')
    context.loop.run(context.fleet.wait_ready)
    found = context.loop.run(version_of, context.fleet, 'entry-new')
    assert found == version, found
