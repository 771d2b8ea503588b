"""Reasons for closed connections, rejections and retries, used in counters and the trace."""

from __future__ import annotations

from enum import Enum


class CountedReason(Enum):
    """A reason with its own counter; the value is the last part of the counter's name."""

    # Looked up for each request; the hash of Enum is a slower Python call.
    __hash__ = object.__hash__


class CloseReason(CountedReason):
    """Why a client connection was closed; the first reason found is kept."""

    CLOSED_BY_CLIENT = "client"  # the client closed or reset it
    MALFORMED = "malformed"  # its input could not be parsed
    INCOMPLETE = "incomplete"  # a command was not completed in time
    SILENT = "silent"  # no complete command came in time
    IDLE = "idle"  # it reached the idle timeout
    EVICTED = "evicted"  # its descriptor was needed for another connection
    STANDBY = "standby"  # an operator put the gateway on standby
    SHUTDOWN = "stop"  # the gateway is shutting down
    TRUNCATED = "truncated"  # a streamed value can't be completed
    STALLED = "stalled"  # the client does not read its answers, or does not close after the FIN
    FLOOD = "flood"  # the client sent too much input after the FIN


class GatewayRejection(CountedReason):
    """Why a request was answered -BUSY before any attempt.

    Contains the members of `decisions.messages.RejectionReason` under the same names.
    """

    SESSION_LIMIT = "sessions"  # the maximum number of open requests is reached
    NOT_READY = "not_ready"  # there is no endpoint list yet
    UNKNOWN_AGE = "unknown_age"  # it waited for an unknown time in a queue that no process served
    STOPPING = "stopping"  # the process ends too soon to serve it
    QUOTA = "quota"  # over the customer's quota, and its value is below its cost
    CEILING = "ceiling"  # over the customer's ceiling
    BUDGET = "budget"  # not chosen by the random draw for the backends' budget
    NO_ENDPOINT = "no_endpoint"  # no endpoint can take the request
    NO_RETRY = "no_retry"  # no attempt ran, and no retry is allowed


class RetryReason(CountedReason):
    """Why a request gets another attempt: the outcome of the previous attempt, if it ended."""

    HEDGE = "hedge"  # the previous attempt is still in flight
    CONNECT = "connect"  # it could not connect, or was not written completely
    REJECTED = "rejected"  # the backend rejected it
    NOT_SENT = "not_sent"  # nothing of it was written
    ERROR = "error"  # the backend answered with an error
    RESET = "reset"  # its connection was lost after the request was written
    TIMEOUT = "timeout"  # no answer came in time
    MALFORMED_RESPONSE = "malformed_response"  # its answer could not be parsed
