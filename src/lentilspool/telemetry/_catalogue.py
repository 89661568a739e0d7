"""Reference page of all numbered events."""

import importlib
import logging
import pkgutil

import lentilspool
from lentilspool import kernel


def event_page() -> str:
    """Return the text of ``docs/events.md`` in Markdown."""
    for module in pkgutil.walk_packages(lentilspool.__path__, 'lentilspool.'):
        if module.name.endswith('._events'):
            importlib.import_module(module.name)
    lines = [
        '# Events',
        '',
        'Each log record of an event carries its number as `event`. Ranges:',
        '100 programs, 200 configuration, 300 membership, 400 routing and',
        'limits, 500 requests, 600 admission, 700 orders, 800 connections.',
        'This page is made by `make docs`.',
        '',
        '| number | level | meaning |',
        '| --- | --- | --- |',
    ]
    for event in kernel.catalogue.events:
        level = logging.getLevelName(event.level)
        lines.append(f'| {event.number} | {level} | {event.meaning} |')
    return '\n'.join([*lines, ''])
