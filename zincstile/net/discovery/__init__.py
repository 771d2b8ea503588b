"""The gateway's view of discovery: the watch of the endpoint list, its reader, and the endpoint table.

`watcher` keeps a watch open, `watch` is one of them, `reader` turns its JSON into endpoints, `table` holds
them, and `maintenance` changes them as operators have said.
"""
