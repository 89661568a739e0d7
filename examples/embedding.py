"""The router and the ledger inside a plain program."""

import random
import sys

from lentilspool import admission, kernel, routing


def main() -> None:
    """Route one order, and run it at most once."""
    table = routing.EndpointTable()
    table.set_endpoints(routing.Candidate(name=f'worker-{n}') for n in range(3))
    choice = routing.DefaultPolicy().choose(
        routing.RoutingRequest(), table.candidates, 0, random.Random(1)
    )
    sys.stdout.write(f'routed: {choice}\n')
    signer = admission.TokenSigner(b'a key of sixteen bytes or more')
    ledger = admission.Ledger('worker-0', 1, signer.sign)
    issued = ledger.issue('order-1', 'digest', now=0)
    if not isinstance(issued, admission.Issued):
        raise SystemExit('no token')
    first = ledger.start(issued.token, now=1)
    again = ledger.start(issued.token, now=2)
    sys.stdout.write(f'{type(first).__name__}, {type(again).__name__}\n')
    if ledger.begin_call(issued.token, now=3):
        ledger.finish(issued.token, kernel.Complete(b'{"done": true}'))
    last = ledger.start(issued.token, now=4)
    sys.stdout.write(f'{type(last).__name__}\n')


if __name__ == '__main__':
    main()
