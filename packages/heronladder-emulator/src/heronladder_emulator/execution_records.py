"""The stand-ins' own books: what really happened, to check heronladder against."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class EngineRun:
    """What an engine did for one request.

    Attributes:
        engine: Name of the engine.
        prompt_tokens: Tokens of the prompt.
        generated: Tokens generated so far.
        finished: Whether it generated all that it meant to.
    """

    engine: str
    prompt_tokens: int
    generated: int = 0
    finished: bool = False


@dataclass
class ExecutionRecords:
    """Books of all stand-ins of one run.

    Attributes:
        engine_runs: Runs of each request id, one for each time it was started.
        executions: How often each order of a plain service was carried out.
        executed_requests: Request ids that a plain service carried out.
    """

    engine_runs: dict[str, list[EngineRun]] = field(default_factory=dict)
    executions: Counter[str] = field(default_factory=Counter)
    executed_requests: Counter[str] = field(default_factory=Counter)

    def start_run(self, request_id: str, engine: str, prompt_tokens: int) -> EngineRun:
        """Open the books for a run that starts."""
        run = EngineRun(engine, prompt_tokens)
        self.engine_runs.setdefault(request_id, []).append(run)
        return run

    def ran(self, request_id: str) -> bool:
        """Whether a request was started anywhere."""
        return request_id in self.engine_runs or self.executed_requests[request_id] > 0

    def tokens_served(self) -> int:
        """Return all prompt and generated tokens of all runs."""
        return sum(
            run.prompt_tokens + run.generated for runs in self.engine_runs.values() for run in runs
        )

    def tokens_generated(self) -> int:
        """Return all generated tokens of all runs."""
        return sum(run.generated for runs in self.engine_runs.values() for run in runs)
