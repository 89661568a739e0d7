"""Analysis of the logs of several processes.

``read`` parses log lines, ``trace_request`` merges the lines about one
request in order of time, and ``timeline`` counts state changes and failures
per time step.
"""

from lentilspool.explain._log_lines import Line as Line
from lentilspool.explain._log_lines import read as read
from lentilspool.explain._request_trace import trace_request as trace_request
from lentilspool.explain._timeline import timeline as timeline
