"""Commands of ``lentilspool-config``."""

import dataclasses
import sys
import time
from typing import Any, Final

from lentilspool import config, kernel
from lentilspool import limits as _limits
from lentilspool import routing as _routing
from lentilspool.programs import _command, _config_client, _config_format

# Imported to register their policies.
_PLUGINS: Final = (_limits, _routing)
_POLL_S: Final = 0.5
_SHOWN_LAGGING: Final = 20
_SAMPLED_PROCESSES: Final = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """A patch that is not published."""

    merge: dict[str, Any]
    """The merge patch."""

    against: int
    """Version it was made against; 0 for the one in force."""

    author: str
    """Who submits it."""


class _Service:
    """Base of commands that read the service; failures give one line."""

    platform: _config_client.Platform

    def run(self) -> int:
        """Run the command; return the exit status."""
        client = _config_client.ConfigClient(self.platform)
        try:
            return self._run(client)
        except (_config_client.CallError, ValueError) as error:
            sys.stderr.write(f'lentilspool-config: {error}\n')
            return _command.FAILURE
        finally:
            client.close()

    def _run(self, client: _config_client.ConfigClient) -> int:
        raise NotImplementedError


@dataclasses.dataclass(frozen=True)
class Check(_Service):
    """Folds a patch locally and prints the verdict it would get."""

    platform: _config_client.Platform
    """Where the platform listens."""

    draft: Draft
    """The patch."""

    def _run(self, client: _config_client.ConfigClient) -> int:
        history = _read(client)
        verdict = _verdict(history, self.draft)
        sys.stdout.write(f'{_config_format.verdict(verdict)}\n')
        ahead = _highest(client) - history.state.version
        if ahead > 0:
            sys.stderr.write(
                f'lentilspool-config: the service is stale, processes are '
                f'{ahead} versions ahead\n'
            )
            return _command.FAILURE
        return _status(verdict)


@dataclasses.dataclass(frozen=True)
class Diff(_Service):
    """Prints the values that a patch would change."""

    platform: _config_client.Platform
    """Where the platform listens."""

    draft: Draft
    """The patch."""

    def _run(self, client: _config_client.ConfigClient) -> int:
        before = _read(client)
        raw = _encoded(before, self.draft)
        after = before.extended((raw,))
        lines = _config_format.changes(before.state.text, after.state.text)
        sys.stdout.write(''.join(f'{line}\n' for line in lines))
        verdict = after.verdicts[-1]
        if isinstance(verdict, config.EntryRefused):
            sys.stdout.write(f'{_config_format.verdict(verdict)}\n')
        return _status(verdict)


@dataclasses.dataclass(frozen=True)
class Submit(_Service):
    """Publishes a patch that passes the check, and reads back its verdict."""

    platform: _config_client.Platform
    """Where the platform listens."""

    draft: Draft
    """The patch."""

    def _run(self, client: _config_client.ConfigClient) -> int:
        history = _read(client)
        expected = _verdict(history, self.draft)
        if isinstance(expected, config.EntryRefused):
            sys.stdout.write(f'{_config_format.verdict(expected)}\n')
            sys.stdout.write('not published\n')
            return _command.FAILURE
        raw = _encoded(history, self.draft)
        client.publish(raw)
        published = _read(client)
        number = history.state.number + 1
        if not published.covers(number):
            sys.stdout.write(f'number {number}: published, not yet visible\n')
            return _command.FAILURE
        if not published.matches(number, raw):
            sys.stdout.write(f'number {number}: another patch was first\n')
            return _command.FAILURE
        verdict = published.verdicts[number - published.base_number]
        sys.stdout.write(f'{_config_format.verdict(verdict)}\n')
        return _status(verdict)


@dataclasses.dataclass(frozen=True)
class History(_Service):
    """Prints the verdict on each published entry."""

    platform: _config_client.Platform
    """Where the platform listens."""

    def _run(self, client: _config_client.ConfigClient) -> int:
        for verdict in _read(client).verdicts:
            sys.stdout.write(f'{_config_format.verdict(verdict)}\n')
        return 0


@dataclasses.dataclass(frozen=True)
class Wait(_Service):
    """Polls processes until each has a version in force."""

    platform: _config_client.Platform
    """Where the platform listens."""

    version: int
    """The version to wait for."""

    timeout_s: float
    """Seconds after which the command gives up."""

    def _run(self, client: _config_client.ConfigClient) -> int:
        processes = client.processes()
        lagging = {process: 'not asked' for process in processes}
        give_up_at = time.monotonic() + self.timeout_s
        while lagging:
            lagging = self._still_lagging(client, lagging)
            reached = len(processes) - len(lagging)
            sys.stdout.write(
                f'version {self.version}: {reached} of {len(processes)}\n'
            )
            sys.stdout.flush()
            if time.monotonic() > give_up_at:
                break
            time.sleep(_POLL_S if lagging else 0)
        for process, seen in list(lagging.items())[:_SHOWN_LAGGING]:
            sys.stdout.write(f'  {process.name}: {seen}\n')
        return _command.FAILURE if lagging else 0

    def _still_lagging(
        self,
        client: _config_client.ConfigClient,
        lagging: dict[_config_client.Process, str],
    ) -> dict[_config_client.Process, str]:
        seen = {process: self._seen(client, process) for process in lagging}
        return {process: text for process, text in seen.items() if text}

    def _seen(
        self,
        client: _config_client.ConfigClient,
        process: _config_client.Process,
    ) -> str:
        """Return what a process that lags shows; empty if it does not."""
        try:
            held = client.held(process)
        except _config_client.CallError as error:
            return str(error)
        if held.version >= self.version:
            return ''
        return f'version {held.version}'


def _read(client: _config_client.ConfigClient) -> config.History:
    """Return the published log, folded as the daemons fold it."""
    kernel.registry.load_entry_points()
    return config.begin(client.log(), config.registered_names())


def _encoded(history: config.History, draft: Draft) -> bytes:
    against = draft.against or history.state.version
    patch = config.Patch(
        history.state.number + 1, against, draft.author, draft.merge
    )
    return config.encode_patch(patch)


def _verdict(history: config.History, draft: Draft) -> config.Verdict:
    return history.extended((_encoded(history, draft),)).verdicts[-1]


def _status(verdict: config.Verdict) -> int:
    accepted = isinstance(verdict, config.EntryAccepted)
    return 0 if accepted else _command.FAILURE


def _highest(client: _config_client.ConfigClient) -> int:
    """Return the highest version of some processes that answer."""
    sample = client.processes()[:_SAMPLED_PROCESSES]
    return max((_version(client, process) for process in sample), default=0)


def _version(
    client: _config_client.ConfigClient, process: _config_client.Process
) -> int:
    try:
        return client.held(process).version
    except _config_client.CallError:
        return 0
