"""The client of discovery: watches the endpoint list, parses it, and keeps the endpoint table.

`watcher` keeps a watch open, `watch` is one such call, `reader` parses its JSON into endpoints, `table`
stores them, `maintenance` applies the orders of operators, and `clock` converts start times.
"""
