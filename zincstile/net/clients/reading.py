"""Pauses and resumes reading from one client, and tells how old the input is that waited meanwhile."""

from __future__ import annotations

import asyncio

from ..dispatcher import Dispatcher
from ..host import Host
from .input_age import InputAge


class ReadingControl:
    """The state of reading from one client connection, which reads until it is paused."""

    __slots__ = ("input_age", "paused", "paused_for_value")

    def __init__(self, dispatcher: Dispatcher, host: Host) -> None:
        """`host` tells when data was received."""
        self.input_age = InputAge(dispatcher, host)
        self.paused = False
        # During this pause, the value being written could be cut off at some time
        self.paused_for_value = False

    def update(self, transport: asyncio.Transport, *, pause: bool, value_may_be_cut_off: bool) -> None:
        """Pauses or resumes reading if `pause` has changed."""
        if pause and not self.paused:
            self.pause(transport)
        elif self.paused and not pause:
            self.input_age.may_have_waited = True
            self.resume(transport)
        self.paused_for_value = self.paused and (self.paused_for_value or value_may_be_cut_off)

    def pause(self, transport: asyncio.Transport) -> None:
        """Leaves further input in the socket."""
        self.paused = True
        transport.pause_reading()
        self.input_age.on_pause()

    def resume(self, transport: asyncio.Transport) -> None:
        """Reads again; does nothing unless paused."""
        if self.paused:
            self.paused = False
            transport.resume_reading()

    def check_socket(self, transport: asyncio.Transport) -> None:
        """While reading is paused, looks whether input has come."""
        if self.paused:
            self.input_age.check_socket(transport)
