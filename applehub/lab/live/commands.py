"""The `load` and `demo` commands, which run a router over loopback sockets."""

import asyncio

import click
import orjson
from rich.console import Console
from rich.table import Table

from applehub.lab.command_errors import report_errors
from applehub.lab.live.bench import (
    Deployment,
    LoadTestReport,
    deploy,
    read_metrics,
    run_load_test,
    send_command,
    wait_until_ready,
)
from applehub.lab.live.client import LoadSpec
from applehub.lab.live.fake_servers import Plan
from applehub.node.resp import command

MAX_REQUESTS = 2_000_000  # maximum number of requests of one load test
COUNT_NAMES = ("asked", "served", "refused", "failed", "unanswered")
DEMO_COMMANDS = (
    ("PING", command(b"PING")),
    (
        "a read that misses and is fetched from the origin",
        command(b"C.GET", b"pedal", b"01", b"c=read,d=900"),
    ),
    ("the same read again, a cache hit", command(b"C.GET", b"pedal", b"02", b"c=read,d=900")),
    ("a write goes to the origin", command(b"C.SET", b"pedal", b"03", b"c=put,d=900,k=1", b"new")),
    ("an unknown request class", command(b"C.GET", b"pedal", b"04", b"c=none,d=900")),
)


@click.command()
@click.option("--rate", type=click.FloatRange(1, 20_000), default=500.0, help="Mean requests per second.")
@click.option("--seconds", type=click.FloatRange(0.5, 3600), default=10.0)
@click.option("--caches", type=click.IntRange(1), default=4, help="Number of fake cache servers.")
@click.option("--keys", type=click.IntRange(1), default=5000)
@click.option(
    "--writes", type=click.FloatRange(0, 1), default=0.04, help="Fraction of requests that are writes."
)
@click.option("--value", type=click.IntRange(0, 65536), default=512, help="Size of a value, bytes.")
@click.option("--wait-ms", type=click.IntRange(10, 60_000), default=1000, help="Timeout of the client.")
@click.option(
    "--connections", type=click.IntRange(1, 300), default=200, help="Maximum number of client connections."
)
@click.option("--seed", type=click.IntRange(0), default=1)
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@report_errors
def load(
    rate: float, seconds: float, caches: int, keys: int, writes: float, value: int, wait_ms: int,
    connections: int, seed: int, as_json: bool,
) -> None:  # fmt: skip
    """Runs an open-loop load against a router with fake servers on loopback, and measures the router."""
    if rate * seconds > MAX_REQUESTS:
        raise click.UsageError(f"--rate times --seconds: expected at most {MAX_REQUESTS} requests")
    load_spec = LoadSpec(rate, seconds, keys, writes, value, wait_ms, connections, seed)
    with deploy(Plan(caches, value), wait_ms) as deployment:
        if not as_json:
            click.echo(f"about {rate * seconds:.0f} requests in {seconds:.0f} s ...", err=True)
        report = asyncio.run(run_load_test(deployment, load_spec))
    if as_json:
        click.echo(orjson.dumps(report.as_json(), option=orjson.OPT_INDENT_2).decode())
    else:
        show(report)


def show(report: LoadTestReport) -> None:
    """Prints the results of a load test."""
    results, console = report.as_json(), Console(width=110)
    table = Table("", *COUNT_NAMES, "p50 ms", "p99 ms", "p99.9 ms")
    for name, title in (("through", "through the router"), ("direct", "directly to caches")):
        result = results[name]
        times = [f"{result[percentile_key]:.2f}" for percentile_key in ("p50_ms", "p99_ms", "p999_ms")]
        table.add_row(title, *(str(result[key]) for key in COUNT_NAMES), *times)
    console.print(table)
    overhead = [
        report.through.percentile_ms(percentile) - report.direct.percentile_ms(percentile)
        for percentile in (50, 99, 99.9)
    ]
    console.print(
        f"added by the router: p50 {overhead[0]:.2f} ms, p99 {overhead[1]:.2f} ms, p99.9 {overhead[2]:.2f} ms"
    )
    usage, caches, origin = results["router"], results["caches"], results["origin"]
    console.print(f"router: {usage['us_a_request']:.0f} µs of CPU time per request")
    console.print(f"router: {usage['memory_mb']} MB, peak {usage['most_memory_mb']}")
    console.print(f"router: {usage['descriptors']} descriptors, peak {usage['most_descriptors']}")
    console.print(f"caches: {caches['hits']} hits, {caches['misses']} misses")
    console.print(f"origin: {origin['reads']} reads, {origin['writes']} writes")
    delay_ms = report.through.send_delays.get_value_at_percentile(99) / 1000
    console.print(
        f"the client sent up to {delay_ms:.2f} ms late (p99); latency counts from the scheduled time"
    )


@click.command()
@click.option(
    "--seconds",
    type=click.FloatRange(0.5, 60),
    default=3.0,
    help="Duration of the load of 200 requests per second.",
)
@report_errors
def demo(seconds: float) -> None:
    """Starts fake servers and one router, sends it sample commands, then runs a short load through it."""
    with deploy(Plan(3, 64), 1000) as deployment:
        asyncio.run(_run_demo(deployment, seconds))
        code = deployment.router.stop()
    click.echo(f"the router received SIGTERM and ended with code {code}")


async def _run_demo(deployment: Deployment, seconds: float) -> None:
    startup_time, port = await wait_until_ready(deployment), deployment.listen[1]
    click.echo("started 3 fake cache servers, an origin and a discovery service")
    click.echo(f"router listens on port {port}, ready after {startup_time:.2f} s")
    for description, command_bytes in DEMO_COMMANDS:
        answer = await send_command(deployment.listen, command_bytes)
        click.echo(f"  {description}: {answer[:24]!r}{'...' if len(answer) > 24 else ''}")
    counts = deployment.counts()
    click.echo(
        f"  fake servers: {counts.misses} miss, {counts.hits} hit, "
        f"{counts.reads} origin read, {counts.writes} write"
    )
    show(await run_load_test(deployment, LoadSpec(200, seconds, 500, 0.04, 64, 1000, 50, 1)))
    metrics = await read_metrics(deployment)
    for name in ("responses.read.ok", "responses.put.ok", "tries", "pool_size", "pool_ejected"):
        click.echo(f"router metrics (DUMP): {name} {metrics['edge_balancer.' + name]}")
