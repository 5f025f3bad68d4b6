"""Results of commands."""

from heronladder_schema.v1 import control_pb2, ledger_pb2


def success(
    *, lease: ledger_pb2.Lease | None = None, available: int = 0
) -> control_pb2.CommandResult:
    """Return the result of a command that was applied."""
    result = control_pb2.CommandResult(code=control_pb2.RESULT_CODE_OK, available=available)
    if lease is not None:
        result.lease.CopyFrom(lease)
    return result


def failure(code: control_pb2.ResultCode.ValueType, message: str) -> control_pb2.CommandResult:
    """Return the result of a rejected command with the reason."""
    return control_pb2.CommandResult(code=code, message=message)
