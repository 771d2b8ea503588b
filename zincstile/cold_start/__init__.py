"""Cold start: hundreds of gateways that start at the same moment.

No I/O and no clock; `net/cold_start` sends and receives the datagrams. docs/cold-start.md derives
the figures.

- `settings`: what an operator configures
- `list_polling`: when the list service is polled, with backoff
- `messages`, `codec`, `entry_lines`: what gateways send each other of their endpoint list, and its datagrams
- `list_copy`: the endpoint list of this gateway, as it may be passed on
- `list_search`: the search for a list that other gateways have
- `peer_lists`: both sides of the exchange with other gateways
- `message_rate`: the limit on datagrams in a second
- `readiness`: from when on a gateway says that it is ready
- `admission_ramp`: the way up to full admission after a start
- `feature`, `events`: what joins a policy: that ramp, and its event
"""
