"""Log lines of several processes, joined to one request's way.

``read`` takes lines as the processes wrote them, ``way`` joins those of one
request, and ``timeline`` counts what processes came to believe.
"""

from lentilspool.explain._reading import Line as Line
from lentilspool.explain._reading import read as read
from lentilspool.explain._timeline import timeline as timeline
from lentilspool.explain._way import way as way
