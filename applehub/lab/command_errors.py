"""Error handling of the lab's commands: a message on standard error, and an exit code."""

import sys
from collections.abc import Callable
from functools import wraps
from typing import Any

import click

from applehub.lab.live.bench import LiveError
from applehub.lab.runner import ResultsError
from applehub.lab.spec import SpecError


def report_errors(command: Callable[..., None]) -> Callable[..., None]:
    """Decorates a command to exit with 2 on invalid input, 1 on a failed start and 130 on an interrupt."""

    @wraps(command)
    def run(*args: Any, **kwargs: Any) -> None:
        try:
            command(*args, **kwargs)
        except (SpecError, ResultsError) as error:
            click.echo(str(error), err=True)
            sys.exit(2)
        except LiveError as error:
            click.echo(str(error), err=True)
            sys.exit(1)
        except KeyboardInterrupt:
            click.echo("interrupted", err=True)
            sys.exit(130)
        except OSError as error:
            click.echo(f"{error.filename or 'output'}: {error.strerror or error}", err=True)
            sys.exit(2)

    return run
