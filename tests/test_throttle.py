"""Unit tests of the throttle against manually calculated sequences."""

from hypothesis import given, settings
from hypothesis import strategies as st

from applehub.interface import Request, RequestClass
from applehub.policy.job import Job
from applehub.policy.throttle import INITIAL_TOKENS, MIN_CAPACITY, Throttle

SECOND = 1_000_000_000
SPEC = RequestClass(latency_objective=SECOND, deadline=2 * SECOND)


def make_job(name: str) -> Job:
    return Job(Request(name, 0, 2 * SECOND), SPEC, SECOND)


def test_offer_uses_tokens_then_buffer_then_rejects() -> None:
    throttle = Throttle(0, 10.0, MIN_CAPACITY)
    results = [throttle.offer(make_job(str(n))) for n in range(MIN_CAPACITY + 2)]
    assert results == [True] * INITIAL_TOKENS + [None] * (MIN_CAPACITY - INITIAL_TOKENS) + [False] * 2
    assert throttle.level == -(MIN_CAPACITY - INITIAL_TOKENS)


def test_refill_releases_waiting_jobs_in_order() -> None:
    throttle = Throttle(0, 10.0, MIN_CAPACITY)
    for n in range(4):
        throttle.offer(make_job(str(n)))
    assert throttle.refill(SECOND // 10 - 1) == []
    assert [job.request.id for job in throttle.refill(SECOND // 10)] == ["2"]
    assert [job.request.id for job in throttle.refill(SECOND // 5)] == ["3"]
    assert throttle.level == 0


def test_full_bank_discards_tokens() -> None:
    throttle = Throttle(0, 10.0, MIN_CAPACITY)
    assert throttle.refill(5 * SECOND) == []
    assert throttle.level == throttle.bank == INITIAL_TOKENS


def test_move_to_bank_keeps_waiting_jobs() -> None:
    throttle = Throttle(0, 10.0, MIN_CAPACITY)
    for n in range(6):
        throttle.offer(make_job(str(n)))
    throttle.move_to_bank(MIN_CAPACITY)
    assert (throttle.bank, throttle.buffer) == (MIN_CAPACITY, 0)
    assert throttle.offer(make_job("late")) is False
    assert len(throttle.refill(SECOND)) == 4
    assert throttle.level == 6


def test_removed_job_frees_its_slot() -> None:
    throttle = Throttle(0, 10.0, MIN_CAPACITY)
    jobs = [make_job(str(n)) for n in range(4)]
    for job in jobs:
        throttle.offer(job)
    assert throttle.level == -2
    for _ in range(2):  # removing a job twice has no further effect
        throttle.remove(jobs[2])
        assert throttle.level == -1 and list(throttle.queue) == ["3"]
    assert throttle.refill(SECOND // 10) == [jobs[3]]


@settings(derandomize=True, max_examples=200)
@given(gaps=st.lists(st.integers(0, 3 * SECOND // 10), max_size=80), split=st.integers(0, MIN_CAPACITY))
def test_admission_depends_only_on_total_capacity(gaps: list[int], split: int) -> None:
    """Berger's theorem 2: from equal initial levels, any split of the capacity blocks the same arrivals."""
    blocked = []
    for bank in (MIN_CAPACITY, split):
        throttle = Throttle(0, 10.0, MIN_CAPACITY)
        throttle.bank, throttle.buffer, throttle.level = bank, MIN_CAPACITY - bank, bank
        now, blocked_arrivals = 0, []
        for arrival, gap in enumerate(gaps):
            now += gap
            throttle.refill(now)
            if throttle.offer(make_job(str(arrival))) is False:
                blocked_arrivals.append(arrival)
        blocked.append(blocked_arrivals)
    assert blocked[0] == blocked[1]
