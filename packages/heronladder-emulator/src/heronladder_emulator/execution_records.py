"""Records of what emulated engines and services executed.

They are kept independently of heronladder, so that its bills and reports can be
checked against what really happened.
"""

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class EngineRun:
    """One execution of a request by an engine.

    Attributes:
        engine: Name of the engine.
        prompt_tokens: Number of tokens of the prompt.
        generated: Number of tokens generated so far.
        finished: Whether the completion was generated to its end.
    """

    engine: str
    prompt_tokens: int
    generated: int = 0
    finished: bool = False


@dataclass
class ExecutionRecords:
    """Records of all emulated engines and services of one simulation or test.

    Attributes:
        engine_runs: Runs by request id, one for each time an engine accepted the request.
        executions: Number of executions by order id, over all plain services.
        executed_requests: Number of executions by request id, over all plain services.
    """

    engine_runs: dict[str, list[EngineRun]] = field(default_factory=dict)
    executions: Counter[str] = field(default_factory=Counter)
    executed_requests: Counter[str] = field(default_factory=Counter)

    def start_run(self, request_id: str, engine: str, prompt_tokens: int) -> EngineRun:
        """Add and return the record of a run that starts."""
        run = EngineRun(engine, prompt_tokens)
        self.engine_runs.setdefault(request_id, []).append(run)
        return run

    def ran(self, request_id: str) -> bool:
        """Return whether any engine or service started to execute a request."""
        return request_id in self.engine_runs or self.executed_requests[request_id] > 0

    def tokens_served(self) -> int:
        """Return the number of prompt and generated tokens of all runs."""
        return sum(
            run.prompt_tokens + run.generated for runs in self.engine_runs.values() for run in runs
        )

    def tokens_generated(self) -> int:
        """Return the number of generated tokens of all runs."""
        return sum(run.generated for runs in self.engine_runs.values() for run in runs)
