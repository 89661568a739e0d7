"""Coordination parts for serving multi-stage model pipelines.

The packages below hold decisions as plain synchronous code, to embed in any
program: ``lentilspool.routing``, ``lentilspool.limits``,
``lentilspool.admission``, ``lentilspool.config``, ``lentilspool.membership``,
``lentilspool.orders`` and ``lentilspool.pipeline``. The daemons built from
them are in ``lentilspool.daemons`` and ``lentilspool.programs``.
"""
