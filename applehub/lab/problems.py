"""How the lab's commands end when something is wrong: a line on standard error, and a code."""

import sys
from collections.abc import Callable
from functools import wraps
from typing import Any

import click

from applehub.lab.live.bench import LiveError
from applehub.lab.runner import ResultsError
from applehub.lab.spec import SpecError


def guarded(command: Callable[..., None]) -> Callable[..., None]:
    """What users get wrong ends with code 2; what did not start, with 1; what they cut off, with 130."""

    @wraps(command)
    def run(*args: Any, **kwargs: Any) -> None:
        try:
            command(*args, **kwargs)
        except (SpecError, ResultsError) as problem:
            click.echo(str(problem), err=True)
            sys.exit(2)
        except LiveError as problem:
            click.echo(str(problem), err=True)
            sys.exit(1)
        except KeyboardInterrupt:
            click.echo("cut off", err=True)
            sys.exit(130)
        except OSError as problem:
            click.echo(f"{problem.filename or 'output'}: {problem.strerror or problem}", err=True)
            sys.exit(2)

    return run
