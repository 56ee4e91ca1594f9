"""Runs the balancer: passes events to it and executes its actions.

The driver owns the requests, attempts and timers of the router. The balancer makes all decisions.
"""

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable

from applehub import interface as api
from applehub.node import resp
from applehub.node.attempt_clock import AttemptClock, AttemptPhase
from applehub.node.call import MIN_TIME_LEFT, NS_PER_MS, AttemptResult, Call, Carrier, Exchange
from applehub.node.memory_budget import MemoryBudget
from applehub.node.metrics import Metrics, ResponseResult
from applehub.node.pending_request import Attempt, PendingRequest, Reply
from applehub.node.pool import Pools
from applehub.node.reasons import Rejection, ServerClose, Timeout
from applehub.node.stream import Source, Stream
from applehub.node.used_ids import UsedIds
from applehub.policy import Balancer

NS_PER_S = 1_000_000_000
# Results of attempts that may have executed their request.
MAY_HAVE_RUN = frozenset((api.Status.OK, api.Status.ERROR, api.Status.TIMEOUT, api.Status.RESET))
ANSWER_MARGIN = 8 * NS_PER_MS  # time before a deadline that is reserved for sending the answer
log = logging.getLogger("applehub")


class LongAnswerObserver:
    """Updates a request as its long answer is passed on and received."""

    __slots__ = ("driver", "request")

    def __init__(self, driver: "Driver", request: PendingRequest) -> None:
        self.driver, self.request = driver, request

    def stream_started(self) -> None:
        """Closes the request, which can't get another answer any more."""
        self.driver.answer_started(self.request)

    def stream_completed(self) -> None:
        """Counts the request as answered."""
        self.driver.answer_completed(self.request)

    def stream_rejected(self) -> None:
        """Fails the request."""
        self.driver.reject_long_answer(self.request)


class Driver:
    """Passes events to one Balancer and executes its actions."""

    def __init__(self, balancer: Balancer, pools: Pools, max_requests: int, metrics: Metrics) -> None:
        self.balancer, self.pools, self.max_requests = balancer, pools, max_requests
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.requests: dict[str, PendingRequest] = {}
        self.memory = MemoryBudget()
        self.used_ids = UsedIds()
        self.start_watch: Callable[[], None] = lambda: None
        self.publish: Callable[[api.PublishGossip], None] = lambda _: None
        # Monotonic time (ns) by which all requests must be answered; 0 until the router stops.
        self.answer_all_by = 0
        self._events: deque[api.Event] = deque()
        self._handling = False

    def accept(self, call: Call, reply: Reply, received_at: int) -> PendingRequest | None:
        """Accepts a request; returns None if it was answered at once.

        reply: receives exactly one answer.
        received_at: monotonic ns at which the last byte of the request was received, from which the client's
        deadline counts.
        """
        request_id = call.id.decode()
        request_class = self.balancer.settings.classes[call.class_index]
        executes_once = request_class.effect is not api.Effect.SAFE
        if request_id in self.requests or (
            executes_once and self.used_ids.contains(call.id, time.monotonic_ns())
        ):
            log.debug("request %s rejected: %s", request_id, Rejection.ID_IN_USE)
            self.metrics.count_reason(Rejection.ID_IN_USE)
            self.metrics.count_response(call.class_name, ResponseResult.ERRORS)
            reply.set_answer(resp.error("this id is in use"))
            return None
        answer_by = received_at + (
            request_class.deadline if call.wait_ms is None else call.wait_ms * NS_PER_MS
        )
        answer_by = min(answer_by, self.answer_all_by or answer_by)
        time_left = answer_by - ANSWER_MARGIN - time.monotonic_ns()
        rejection = self._rejection_reason(call, time_left)
        if rejection is not None:
            log.debug(
                "request %s rejected: %s, %d ms left",
                request_id,
                rejection,
                (time_left + ANSWER_MARGIN) // NS_PER_MS,
            )
            self.metrics.count_reason(rejection)
            self.metrics.count_response(call.class_name, ResponseResult.SHED)
            # No attempt was started, so the client may retry.
            reply.set_answer(self.rejection())
            return None
        request = self.requests[request_id] = PendingRequest(
            request_id, call, reply, answer_by - ANSWER_MARGIN, executes_once
        )
        log.debug(
            "request %s accepted: info %s, %d ms left",
            request_id,
            call.info.decode(),
            (time_left + ANSWER_MARGIN) // NS_PER_MS,
        )
        request.deadline_timer = self.loop.call_at(
            (answer_by - ANSWER_MARGIN // 2) / NS_PER_S, self._fail_overdue, request
        )
        key = call.key.decode("latin-1")
        is_write = call.value is not None
        self._process(
            api.Request(
                request_id, call.class_index, request.deadline, key, is_write, call.tenant, call.is_retry
            )
        )
        return request

    def _rejection_reason(self, call: Call, time_left: int) -> Rejection | None:
        """Returns why a request is rejected; None if it is accepted, and its memory reserved.

        time_left: ns until its answer has to be sent.
        """
        if time_left < MIN_TIME_LEFT:
            return Rejection.NO_TIME_LEFT
        if len(self.requests) >= self.max_requests:
            return Rejection.REQUEST_LIMIT
        if call.value is resp.DISCARDED or not self.memory.reserve(call.size):
            return Rejection.MEMORY
        return None

    def rejection(self) -> bytes:
        """Returns the answer that rejects a command and gives the time after which its client may retry."""
        return resp.busy(-(-self.balancer.client_retry_after // NS_PER_MS))

    def cancel(self, request: PendingRequest) -> None:
        """Cancels a request whose client has disconnected.

        An attempt that was sent completely continues, so that its connection can be reused. An attempt that
        is connecting or partly sent is aborted.
        """
        if request.open:
            log.debug("request %s cancelled by its client", request.id)
            self._close(request)
            self._process(api.RequestCancelled(request.id))
        attempt, carrier = request.attempt, self._carrier(request.attempt)
        if attempt is not None and carrier is not None and (request.stream is not None or carrier.sending):
            carrier.abort_attempt(ServerClose.CLIENT_LEFT)
            self._attempt_ended(attempt, AttemptResult(api.Status.CANCELLED))
        self._remove_if_done(request)

    @staticmethod
    def _carrier(attempt: Attempt | None) -> Carrier | None:
        """Returns the connection of an attempt in flight; None if there is none."""
        return attempt.exchange.carrier if attempt is not None and attempt.exchange is not None else None

    def notify(
        self,
        event: api.Members
        | api.ServerOverride
        | api.SettingsChanged
        | api.ProcessCount
        | api.GossipSummary
        | api.SavedStatistics,
    ) -> None:
        """Passes an event that concerns no single request to the balancer."""
        self._process(event)

    @property
    def longest_deadline(self) -> int:
        return max(request_class.deadline for request_class in self.balancer.settings.classes)

    def stop(self, seconds: float) -> None:
        """Fails every request that is still open after the given number of seconds."""
        self.answer_all_by = time.monotonic_ns() + int(seconds * NS_PER_S)
        self.loop.call_later(seconds - ANSWER_MARGIN / NS_PER_S, self._fail_all)

    def _fail_all(self) -> None:
        for request in list(self.requests.values()):
            if request.stream is not None and not request.stream.started and not request.stream.complete:
                self._fail_long_answer(request, ServerClose.SHUTDOWN)
            else:
                self._fail_overdue(request)

    def _fail_overdue(self, request: PendingRequest) -> None:
        """Fails an open request.

        This bounds the duration of every request, even if the balancer never answers it. A long answer that
        waits for earlier answers of its connection, or still comes, is left to its `AttemptClock`.
        """
        if request.open and request.stream is not None:
            self._close(request)
        elif request.open:
            log.debug("request %s overdue", request.id)
            self.metrics.count_reason(Timeout.REQUEST)
            self._answer(request, resp.FAILED, ResponseResult.ERRORS)
            self._process(api.RequestCancelled(request.id))
            self._remove_if_done(request)

    def _process(self, event: api.Event) -> None:
        """Handles an event, then the events that its actions cause, in the order in which they occur."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(time.monotonic_ns(), event)
        except Exception:
            log.exception("the balancer failed to handle an event: %s", type(event).__name__)
            self._fail(getattr(event, "id", ""))
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("failed to execute an action: %s", type(action).__name__)
                self._fail(getattr(action, "id", ""))

    def _fail(self, request_id: str) -> None:
        request = self.requests.get(request_id)
        if request is not None:
            self._fail_overdue(request)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Reject() | api.Fail():
                request = self.requests.get(action.id)
                if request is not None and request.open:
                    if isinstance(action, api.Reject):
                        self.metrics.count_reason(Rejection.POLICY)
                        rejection = resp.busy(-(-action.retry_after // NS_PER_MS))
                        self._answer(request, rejection, ResponseResult.SHED)
                    else:
                        self._answer(request, resp.FAILED, ResponseResult.ERRORS)
                    self._remove_if_done(request)
            case api.SetTimer():
                self.loop.call_later(action.delay / NS_PER_S, self._process, api.TimerFired(action.token))
            case api.Watch():
                self.start_watch()
            case api.PublishGossip():
                self.publish(action)
            case api.Log():
                log.info("%s", action.text)

    def _send(self, action: api.Send) -> None:
        request, now = self.requests.get(action.id), time.monotonic_ns()
        if request is None:
            log.error("send action ignored: unknown request")
            return
        number, request.attempts_made = request.attempts_made, request.attempts_made + 1
        attempt = Attempt(request, number, action.server, now)
        time_left = request.deadline - now
        time_limit = min(action.timeout, time_left) if action.timeout else time_left
        pool = self.pools.pools.get(action.server)
        started, max_attempts = number - request.local_failures, self.balancer.settings.max_attempts
        allowed = request.open and request.attempt is None and started < max_attempts
        if pool is None or pool.retired or not allowed or time_limit <= 0:
            self._report_outcome(attempt, AttemptResult(api.Status.MOOT))
            return
        if request.previous_result is not None:
            log.debug("request %s retried: %s", request.id, request.previous_result)
            self.metrics.count_reason(request.previous_result)
        if request.executes_once and not started:
            self.used_ids.add(request.call.id, now)  # before the attempt, for the router's other process
        request.attempt = attempt
        attempt.clock = AttemptClock(
            (now + time_limit) / NS_PER_S,
            request.deadline / NS_PER_S,
            lambda: self._time_is_up(attempt),
            lambda: (carrier := self._carrier(attempt)) is not None and carrier.has_unread_response,
        )
        if action.deliver_by:
            attempt.delivery_timer = self.loop.call_at(
                action.deliver_by / NS_PER_S, self._check_delivery, attempt
            )
        attempt.exchange = Exchange(
            request.call,
            now + time_limit,
            lambda result: self._attempt_ended(attempt, result),
            lambda size, source: self._start_stream(attempt, size, source),
            lambda: self._response_started(attempt),
            self.memory,
            deliver_by=action.deliver_by or math.inf,
            still_wanted=lambda: self._still_wanted(attempt),
        )
        if not pool.start(attempt.exchange):
            self._attempt_ended(attempt, AttemptResult(api.Status.FULL))

    def _still_wanted(self, attempt: Attempt) -> bool:
        """Returns whether the client is still connected; cancels the request if it is not.

        The client may have disconnected since the event loop last polled its socket.
        """
        if attempt.request.reply.client_is_connected():
            return True
        self.cancel(attempt.request)
        return False

    def _check_delivery(self, attempt: Attempt) -> None:
        """Aborts a retry that its server has not received completely within the idempotency window."""
        carrier = self._carrier(attempt)
        if carrier is not None and carrier.undelivered:
            log.debug("request %s attempt %d: not delivered in time", attempt.request.id, attempt.number)
            self._timeout(attempt)

    def _time_is_up(self, attempt: Attempt) -> None:
        """Ends an attempt whose clock has expired; logs a server that has begun to answer."""
        request, carrier = attempt.request, self._carrier(attempt)
        if request.stream is not None:
            log.info(
                "server %s stopped within an answer: request %s, %d of %d bytes received",
                attempt.server,
                request.id,
                request.stream.received,
                request.stream.size,
            )
        elif carrier is not None and carrier.response_size:
            log.info(
                "server %s gave no complete answer in time: request %s, %d bytes received",
                attempt.server,
                request.id,
                carrier.response_size,
            )
        self._timeout(attempt)

    def _timeout(self, attempt: Attempt) -> None:
        """Aborts an attempt that timed out.

        Its connection is closed before the balancer is notified, so that no retry runs beside it.
        """
        carrier, clock = self._carrier(attempt), attempt.clock
        if attempt.request.attempt is attempt and carrier is not None and clock is not None:
            state = self._timeout_state(clock.phase, carrier)
            log.debug(
                "request %s attempt %d timed out: %s, %d bytes received, %.1f ms left",
                attempt.request.id,
                attempt.number,
                state,
                carrier.response_size,
                (attempt.request.deadline - time.monotonic_ns()) / NS_PER_MS,
            )
            self.metrics.count_reason(state)
            may_have_run = carrier.abort_attempt(ServerClose.TIMEOUT)
            self._attempt_ended(
                attempt, AttemptResult(api.Status.TIMEOUT if may_have_run else api.Status.MOOT)
            )

    @staticmethod
    def _timeout_state(phase: AttemptPhase, carrier: Carrier) -> Timeout:
        """Returns what an attempt waits for."""
        match phase:
            case AttemptPhase.WAITING:
                return Timeout.SENDING if carrier.sending else Timeout.RESPONSE
            case AttemptPhase.RESPONDING:
                return Timeout.BEGUN_RESPONSE
            case _:
                return Timeout.LONG_ANSWER

    def _response_started(self, attempt: Attempt) -> None:
        """Records that the server has begun to answer: from now on its client's time ends the attempt."""
        clock = attempt.clock
        if attempt.request.attempt is not attempt or clock is None or clock.phase is not AttemptPhase.WAITING:
            return
        clock.response_started()
        self._process(api.ResponseStarted(attempt.request.id, attempt.number, attempt.server))

    def _start_stream(self, attempt: Attempt, size: int, source: Source) -> Stream | None:
        """Starts to stream a long answer; returns None if the attempt is no longer current.

        The time of the attempt is that of the stream from now on. The request can still be retried until a
        part of the answer was passed on.
        """
        request, clock = attempt.request, attempt.clock
        if request.attempt is not attempt or clock is None:
            return None
        request.may_have_run = True  # however the attempt ends
        if not request.open:
            return None
        log.debug(
            "request %s attempt %d at %s: streaming %d bytes",
            request.id,
            attempt.number,
            attempt.server,
            size,
        )
        if attempt.delivery_timer is not None:
            attempt.delivery_timer.cancel()
        attempt.long_answer_at = time.monotonic_ns()
        observer = LongAnswerObserver(self, request)
        stream = request.stream = Stream(size, source, request.deadline / NS_PER_S, observer)
        clock.long_answer_started(stream)
        request.reply.begin_stream(stream)
        self._process(api.StreamOpened(request.id, attempt.number, attempt.server))
        return stream

    def answer_started(self, request: PendingRequest) -> None:
        """Records that a part of a long answer was passed on."""
        self._close(request)

    def answer_completed(self, request: PendingRequest) -> None:
        """Records that a long answer was received completely."""
        self.metrics.count_response(request.call.class_name, ResponseResult.OK)
        self._close(request)

    def reject_long_answer(self, request: PendingRequest) -> None:
        """Fails a request whose long answer has to wait and finds no memory."""
        log.debug("request %s: no memory for a long answer", request.id)
        self._fail_long_answer(request, ServerClose.MEMORY)

    def _fail_long_answer(self, request: PendingRequest, reason: ServerClose) -> None:
        """Fails a request of whose long answer nothing was passed on, and aborts its attempt."""
        attempt, carrier = request.attempt, self._carrier(request.attempt)
        if attempt is None or carrier is None:
            return
        carrier.abort_attempt(reason)
        request.stream = None
        request.reply.withdraw_stream()
        self._answer(request, resp.FAILED, ResponseResult.ERRORS)
        self._attempt_ended(attempt, AttemptResult(api.Status.CANCELLED))

    def _end_stream(self, request: PendingRequest, stream: Stream, status: api.Status) -> None:
        request.stream = None
        if status is api.Status.OK:
            stream.end()
        elif request.open:
            request.reply.withdraw_stream()
        elif not stream.complete and status is not api.Status.CANCELLED:
            log.debug("request %s: stream aborted: %s", request.id, status)
            self.metrics.count_response(request.call.class_name, ResponseResult.ERRORS)
            request.reply.abort_stream()

    def _attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        request = attempt.request
        if request.attempt is not attempt:
            return
        carrier = self._carrier(attempt)
        connected = carrier is not None and carrier.connected
        request.previous_result = result.status
        request.may_have_run |= result.status in MAY_HAVE_RUN
        request.attempt = attempt.exchange = None  # breaks the reference cycle between attempt and exchange
        request.local_failures += result.status in api.NOT_STARTED
        attempt.cancel_timers()
        if request.stream is not None:
            self._end_stream(request, request.stream, result.status)
        elif result.status is api.Status.OK and request.open:
            self._answer_with_value(request, result.value)
        self._report_outcome(attempt, result, connected)
        self._remove_if_done(request)

    def _report_outcome(self, attempt: Attempt, result: AttemptResult, connected: bool = False) -> None:
        request, number, server, status = attempt.request, attempt.number, attempt.server, result.status
        # The rest of a long answer comes as fast as the client reads it.
        is_long_answer = status is api.Status.OK and attempt.long_answer_at
        elapsed = (attempt.long_answer_at if is_long_answer else time.monotonic_ns()) - attempt.sent_at
        log.debug(
            "request %s attempt %d at %s: %s after %.1f ms",
            request.id,
            number,
            server,
            status,
            elapsed / NS_PER_MS,
        )
        self._process(
            api.Outcome(
                request.id,
                attempt.number,
                attempt.server,
                result.status,
                not request.open,
                elapsed,
                result.note,
                result.load,
                connected,
            )
        )

    def _answer_with_value(self, request: PendingRequest, value: bytes | bytearray) -> None:
        """Answers with a value; fails the request if the value has to wait and no memory is left for it."""
        if request.reply.can_hold(len(value)):
            self._answer(request, resp.bulk(value), ResponseResult.OK)
        else:
            log.debug("request %s: no memory for an answer of %d bytes", request.id, len(value))
            self._answer(request, resp.FAILED, ResponseResult.ERRORS)

    def _answer(self, request: PendingRequest, answer: bytes, outcome: ResponseResult) -> None:
        self.metrics.count_response(request.call.class_name, outcome)
        log.debug("request %s answered: %.16r", request.id, answer)
        self._close(request)
        request.reply.set_answer(answer)

    @property
    def active(self) -> int:
        """Number of requests accepted and not yet completely answered."""
        return sum(request.open or request.stream is not None for request in self.requests.values())

    def _close(self, request: PendingRequest) -> None:
        request.open = False
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()

    def _remove_if_done(self, request: PendingRequest) -> None:
        """Removes a request that is answered and has no attempt in flight."""
        if request.open or request.attempt is not None or self.requests.pop(request.id, None) is None:
            return
        self.memory.release(request.call.size)
        if request.executes_once and request.attempts_made and not request.may_have_run:
            self.used_ids.remove(request.call.id)
