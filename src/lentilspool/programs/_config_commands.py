"""Commands of ``lentilspool-config``."""

import dataclasses
import sys
import time
from typing import Any, Final

from lentilspool import config, kernel
from lentilspool import limits as _limits
from lentilspool import routing as _routing
from lentilspool.programs import _command, _config_client, _config_format

# Imported because the import registers their policies.
_PLUGINS: Final = (_limits, _routing)
_POLL_INTERVAL_S: Final = 0.5
_MAX_LAGGING_SHOWN: Final = 20
_SAMPLED_PROCESSES: Final = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """A patch that is not published yet."""

    merge: dict[str, Any]
    """JSON merge patch."""

    against: int
    """Version that the patch was made against; 0 for the one in force."""

    author: str
    """Name of the person who submits the patch."""


class _ServiceCommand:
    """Base of commands that call the service; errors print one line."""

    platform: _config_client.Platform

    def run(self) -> int:
        """Run the command; return the exit status, 1 if a call failed."""
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
class Check(_ServiceCommand):
    """Applies a patch locally and prints the verdict it would get."""

    platform: _config_client.Platform
    """URLs of the platform's services."""

    draft: Draft
    """Patch to evaluate."""

    def _run(self, client: _config_client.ConfigClient) -> int:
        history = _read_history(client)
        verdict = _predict_verdict(history, self.draft)
        sys.stdout.write(f'{_config_format.verdict(verdict)}\n')
        ahead = _highest_version(client) - history.state.version
        if ahead > 0:
            sys.stderr.write(
                f'lentilspool-config: the service is stale, processes are '
                f'{ahead} versions ahead\n'
            )
            return _command.FAILURE
        return _exit_status(verdict)


@dataclasses.dataclass(frozen=True)
class Diff(_ServiceCommand):
    """Prints the configuration values that a patch would change."""

    platform: _config_client.Platform
    """URLs of the platform's services."""

    draft: Draft
    """Patch to evaluate."""

    def _run(self, client: _config_client.ConfigClient) -> int:
        before = _read_history(client)
        raw = _encode_draft(before, self.draft)
        after = before.extended((raw,))
        lines = _config_format.changes(before.state.text, after.state.text)
        sys.stdout.write(''.join(f'{line}\n' for line in lines))
        verdict = after.verdicts[-1]
        if isinstance(verdict, config.EntryRefused):
            sys.stdout.write(f'{_config_format.verdict(verdict)}\n')
        return _exit_status(verdict)


@dataclasses.dataclass(frozen=True)
class Submit(_ServiceCommand):
    """Publishes a patch that passes the check, then prints its verdict."""

    platform: _config_client.Platform
    """URLs of the platform's services."""

    draft: Draft
    """Patch to evaluate."""

    def _run(self, client: _config_client.ConfigClient) -> int:
        history = _read_history(client)
        expected = _predict_verdict(history, self.draft)
        if isinstance(expected, config.EntryRefused):
            sys.stdout.write(f'{_config_format.verdict(expected)}\n')
            sys.stdout.write('not published\n')
            return _command.FAILURE
        raw = _encode_draft(history, self.draft)
        client.publish(raw)
        published = _read_history(client)
        number = history.state.number + 1
        if not published.covers(number):
            sys.stdout.write(f'number {number}: published, not yet visible\n')
            return _command.FAILURE
        if not published.matches(number, raw):
            sys.stdout.write(f'number {number}: another patch was first\n')
            return _command.FAILURE
        verdict = published.verdicts[number - published.base_number]
        sys.stdout.write(f'{_config_format.verdict(verdict)}\n')
        return _exit_status(verdict)


@dataclasses.dataclass(frozen=True)
class History(_ServiceCommand):
    """Prints the verdict on each published entry."""

    platform: _config_client.Platform
    """URLs of the platform's services."""

    def _run(self, client: _config_client.ConfigClient) -> int:
        for verdict in _read_history(client).verdicts:
            sys.stdout.write(f'{_config_format.verdict(verdict)}\n')
        return 0


@dataclasses.dataclass(frozen=True)
class Wait(_ServiceCommand):
    """Polls processes until each has the version or a newer one in force."""

    platform: _config_client.Platform
    """URLs of the platform's services."""

    version: int
    """Version to wait for."""

    timeout_s: float
    """Seconds after which the command stops waiting."""

    def _run(self, client: _config_client.ConfigClient) -> int:
        processes = client.processes()
        lagging = {process: 'not asked' for process in processes}
        deadline = time.monotonic() + self.timeout_s
        while lagging:
            lagging = self._still_lagging(client, lagging)
            reached = len(processes) - len(lagging)
            sys.stdout.write(
                f'version {self.version}: {reached} of {len(processes)}\n'
            )
            sys.stdout.flush()
            if time.monotonic() > deadline:
                break
            time.sleep(_POLL_INTERVAL_S if lagging else 0)
        for process, lag in list(lagging.items())[:_MAX_LAGGING_SHOWN]:
            sys.stdout.write(f'  {process.name}: {lag}\n')
        return _command.FAILURE if lagging else 0

    def _still_lagging(
        self,
        client: _config_client.ConfigClient,
        lagging: dict[_config_client.Process, str],
    ) -> dict[_config_client.Process, str]:
        lags = {
            process: self._describe_lag(client, process) for process in lagging
        }
        return {process: text for process, text in lags.items() if text}

    def _describe_lag(
        self,
        client: _config_client.ConfigClient,
        process: _config_client.Process,
    ) -> str:
        """Describe how a process lags behind; empty if it does not."""
        try:
            current = client.config_in_force(process)
        except _config_client.CallError as error:
            return str(error)
        if current.version >= self.version:
            return ''
        return f'version {current.version}'


def _read_history(client: _config_client.ConfigClient) -> config.History:
    """Return the published log, evaluated as the daemons evaluate it."""
    kernel.registry.load_entry_points()
    return config.begin(client.log(), config.registered_names())


def _encode_draft(history: config.History, draft: Draft) -> bytes:
    against = draft.against or history.state.version
    patch = config.Patch(
        history.state.number + 1, against, draft.author, draft.merge
    )
    return config.encode_patch(patch)


def _predict_verdict(history: config.History, draft: Draft) -> config.Verdict:
    return history.extended((_encode_draft(history, draft),)).verdicts[-1]


def _exit_status(verdict: config.Verdict) -> int:
    accepted = isinstance(verdict, config.EntryAccepted)
    return 0 if accepted else _command.FAILURE


def _highest_version(client: _config_client.ConfigClient) -> int:
    """Return the highest version in force at a sample of processes.

    Processes that do not answer count as version 0.
    """
    sample = client.processes()[:_SAMPLED_PROCESSES]
    return max(
        (_version_in_force(client, process) for process in sample), default=0
    )


def _version_in_force(
    client: _config_client.ConfigClient, process: _config_client.Process
) -> int:
    try:
        return client.config_in_force(process).version
    except _config_client.CallError:
        return 0
