"""Reasons why connections are closed and why attempts and requests end early, as counted in the metrics."""

from enum import StrEnum

from applehub.interface import Status


class ClientClose(StrEnum):
    """Why a connection to a client is closed; the first reason counts."""

    CLIENT_LEFT = "client_left"
    QUIT = "quit"
    SHUTDOWN = "shutdown"
    MAKE_ROOM = "make_room"  # an idle connection gave way to a new one
    CONNECTION_LIMIT = "connection_limit"
    DESCRIPTOR_LIMIT = "descriptor_limit"  # too many connections are closing at once
    COMMAND_TIMEOUT = "command_timeout"
    PROTOCOL_ERROR = "protocol_error"
    MEMORY = "memory"
    UNREAD_ANSWERS = "unread_answers"  # the client took nothing of its answers
    ANSWER_CUT_OFF = "answer_cut_off"  # the server failed within a long answer
    WRITE_FAILED = "write_failed"


class ServerClose(StrEnum):
    """Why a connection to a cache server or the origin is closed."""

    LOST = "lost"  # the server closed or reset it
    CONNECT_FAILED = "connect_failed"
    UNSTARTED = "unstarted"  # nothing of the attempt was written in time, or the server is retired
    TIMEOUT = "timeout"
    CLIENT_LEFT = "client_left"
    PROTOCOL_ERROR = "protocol_error"
    UNEXPECTED_DATA = "unexpected_data"
    MEMORY = "memory"  # no memory was left for a long answer that had to wait
    NOT_REUSABLE = "not_reusable"  # the response ended before the request, or the server asked for the close
    IDLE = "idle"
    MAKE_ROOM = "make_room"
    SHUTDOWN = "shutdown"
    RETIRED = "retired"  # the server is not in use any more
    RESTARTED = "restarted"


class Rejection(StrEnum):
    """Why a request is answered without an attempt, or with the promise that it may be retried."""

    NO_TIME_LEFT = "no_time_left"
    REQUEST_LIMIT = "request_limit"
    MEMORY = "memory"
    ID_IN_USE = "id_in_use"
    POLICY = "policy"


class Timeout(StrEnum):
    """What an attempt waited for when it timed out, or that a request was still open at its deadline."""

    SENDING = "sending"  # the connect, or the rest of the request
    RESPONSE = "response"  # any byte of a response
    BEGUN_RESPONSE = "begun_response"  # the rest of a response, or the first byte of a long answer
    LONG_ANSWER = "long_answer"  # the rest of a long answer
    REQUEST = "request"


REASON_GROUPS: dict[str, type[StrEnum]] = {
    "client_closes": ClientClose,
    "server_closes": ServerClose,
    "rejections": Rejection,
    "timeouts": Timeout,
    "retries": Status,  # the result of the attempt before
}
