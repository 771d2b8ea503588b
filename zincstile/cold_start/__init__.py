"""Cold start: the start of hundreds of gateways at the same time.

No I/O and no clock; `net/cold_start` sends and receives the datagrams. docs/cold-start.md derives the
figures.

- `settings`: what an operator configures
- `list_polling`: times at which the list service is polled, with backoff
- `messages`, `codec`, `entry_lines`: messages by which gateways exchange endpoint lists, and their encoding
- `list_copy`: this gateway's endpoint list in the form in which peers get it
- `list_search`: the search for an endpoint list among peers
- `peer_lists`: both sides of the exchange with peers
- `message_rate`: the limit on datagrams a second
- `readiness`: the time from which a gateway reports that it is ready
- `admission_ramp`: the gradual increase of admission after a start
- `feature`, `events`: the policy feature that applies the ramp, and its event
"""
