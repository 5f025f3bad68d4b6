"""Settings from command-line flags and environment variables, as declared in the schema.

Each field of a settings message has its default, unit, bounds and help text in its options, so
that a setting is declared only once.
"""

import inspect
import os
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from heronladder_schema.v1 import settings_pb2

from heronladder_runtime.errors import SettingsError

ENVIRONMENT_PREFIX = "HERONLADDER_"
_INTEGER_TYPES = (FieldDescriptor.TYPE_UINT32, FieldDescriptor.TYPE_UINT64)


@dataclass(frozen=True)
class SettingDeclaration:
    """Declaration of one setting in the schema.

    Attributes:
        message: Name of the settings message that contains it.
        name: Name of the field, with underscores.
        integer: Whether its value is an integer (otherwise text).
        options: Default, unit, bounds, pattern and help text.
    """

    message: str
    name: str
    integer: bool
    options: settings_pb2.Setting

    @property
    def flag(self) -> str:
        """The command-line flag, such as ``--router-listen``."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable, such as ``HERONLADDER_ROUTER_LISTEN``."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def bounds(self) -> str:
        """Human-readable description of the allowed values."""
        if self.options.minimum < self.options.maximum:
            return f"{self.options.minimum:.0f} to {self.options.maximum:.0f}"
        return f"text matching {self.options.pattern}" if self.options.pattern else "any text"


@dataclass(frozen=True)
class SettingValue:
    """Effective value of a setting, as text, and its source."""

    declaration: SettingDeclaration
    text: str
    source: str


@dataclass
class DaemonSettings:
    """Typed settings of a daemon."""

    common: settings_pb2.CommonSettings
    router: settings_pb2.RouterSettings
    agent: settings_pb2.AgentSettings
    control: settings_pb2.ControlSettings
    gateway: settings_pb2.GatewaySettings

    @property
    def roles(self) -> list[str]:
        """The roles of the process."""
        return self.common.roles.split(",")


_MESSAGES: tuple[type[Message], ...] = (
    settings_pb2.CommonSettings,
    settings_pb2.RouterSettings,
    settings_pb2.AgentSettings,
    settings_pb2.ControlSettings,
    settings_pb2.GatewaySettings,
)


def declarations() -> list[SettingDeclaration]:
    """Return the declarations of all settings, in the order of the schema."""
    found = []
    for message in _MESSAGES:
        for field in message.DESCRIPTOR.fields:
            options = field.GetOptions().Extensions[settings_pb2.setting]
            integer = field.type in _INTEGER_TYPES
            found.append(SettingDeclaration(message.DESCRIPTOR.name, field.name, integer, options))
    return found


def _problem(value: SettingValue, reason: str) -> str:
    shown = "(secret)" if value.declaration.options.secret else repr(value.text)
    return (
        f"setting {value.declaration.name} = {shown} from {value.source}: {reason}; "
        f"allowed: {value.declaration.bounds}"
    )


def check_value(value: SettingValue) -> str | None:
    """Return the problem of a value with setting, value, source and range; None if it is valid."""
    declaration = value.declaration
    options = declaration.options
    if options.required and not value.text:
        return (
            f"setting {declaration.name} is not set: give {declaration.flag} or "
            f"{declaration.variable}; allowed: {declaration.bounds}"
        )
    if declaration.integer:
        if not re.fullmatch(r"[0-9]+", value.text):
            return _problem(value, "not a whole number")
        number = int(value.text)
        if options.minimum < options.maximum and not options.minimum <= number <= options.maximum:
            return _problem(value, "out of range")
        return None
    if options.pattern and not re.fullmatch(options.pattern, value.text):
        return _problem(value, "malformed")
    return None


def resolve(
    flags: Mapping[str, str | None], environment: Mapping[str, str] | None = None
) -> list[SettingValue]:
    """Return the value of every setting: of its flag, else its variable, else its default.

    Args:
        flags: Values of flags by field name; None if a flag is not given.
        environment: Environment variables; those of the process if None.
    """
    variables = os.environ if environment is None else environment
    values = []
    for declaration in declarations():
        given = flags.get(declaration.name)
        if given is not None:
            values.append(SettingValue(declaration, given, f"flag {declaration.flag}"))
        elif declaration.variable in variables:
            source = f"variable {declaration.variable}"
            values.append(SettingValue(declaration, variables[declaration.variable], source))
        else:
            values.append(SettingValue(declaration, declaration.options.default_value, "default"))
    return values


def build(values: list[SettingValue]) -> DaemonSettings:
    """Return typed settings.

    Raises:
        SettingsError: With a line for each invalid value.
    """
    problems = [problem for problem in map(check_value, values) if problem is not None]
    if problems:
        raise SettingsError(problems)
    messages: dict[str, Message] = {kind.DESCRIPTOR.name: kind() for kind in _MESSAGES}
    for value in values:
        declaration = value.declaration
        typed: str | int = int(value.text) if declaration.integer else value.text
        setattr(messages[declaration.message], declaration.name, typed)
    settings = DaemonSettings(*messages.values())  # type: ignore[arg-type]
    _check_dependencies(settings)
    return settings


def _check_dependencies(settings: DaemonSettings) -> None:
    problems = []
    if "control" in settings.roles and not settings.common.data_folder:
        problems.append(
            "setting data_folder is not set: the control role keeps durable state; "
            "give --data-folder or HERONLADDER_DATA_FOLDER"
        )
    if "agent" in settings.roles and not settings.agent.backend_name:
        problems.append(
            "setting backend_name is not set: the agent role serves exactly one Backend; "
            "give --backend-name or HERONLADDER_BACKEND_NAME"
        )
    if problems:
        raise SettingsError(problems)


def load(
    flags: Mapping[str, str | None], environment: Mapping[str, str] | None = None
) -> DaemonSettings:
    """Resolve, check and build all settings.

    Raises:
        SettingsError: With a line for each invalid value.
    """
    return build(resolve(flags, environment))


def with_setting_options(function: Callable[[dict[str, str | None]], None]) -> Callable[..., None]:
    """Return a ``typer`` command that has every setting as an option.

    Args:
        function: Called with the values of the flags, by field name.
    """

    def command(**flags: Any) -> None:
        function(flags)

    parameters = [_option(declaration) for declaration in declarations()]
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {parameter.name: parameter.annotation for parameter in parameters}
    command.__doc__ = function.__doc__
    command.__name__ = function.__name__
    return command


def _option(declaration: SettingDeclaration) -> inspect.Parameter:
    import typer  # imported here to save memory in daemons, which do not need it

    options = declaration.options
    unit = f" [{options.unit}]" if options.unit else ""
    default = f" (default: {options.default_value})" if options.default_value else ""
    option = typer.Option(None, declaration.flag, help=f"{options.help}{unit}{default}")
    return inspect.Parameter(
        declaration.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=option,
        annotation=str | None,
    )
