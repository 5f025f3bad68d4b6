"""The settings page of the operators' documents, made from the schema."""

from heronladder_runtime.settings import SettingDeclaration, declarations

_TITLES = {
    "CommonSettings": "All roles",
    "RouterSettings": "Router",
    "AgentSettings": "Agent",
    "ControlSettings": "Control",
    "GatewaySettings": "Gateway",
}
_HEAD = """# Settings

Made by `heronladder settings-reference`; the schema is the source. A flag goes
before its environment variable, that before the default. `heronladderd settings`
prints the values in force and where each came from. Wrong settings end the daemon
with code 2 and one line each, all of them at once.
"""


def _row(declaration: SettingDeclaration) -> str:
    options = declaration.options
    cells = [
        f"`{declaration.flag}`",
        f"`{declaration.variable}`",
        f"`{options.default_value}`" if options.default_value else "",
        options.unit,
        declaration.bounds.replace("|", "\\|"),
        options.help + (" (required)" if options.required else ""),
    ]
    return "| " + " | ".join(cells) + " |"


def settings_page() -> str:
    """Return the page in Markdown."""
    lines = [_HEAD]
    known = ""
    for declaration in declarations():
        if declaration.message != known:
            known = declaration.message
            lines.append(f"## {_TITLES[known]}\n")
            lines.append("| flag | variable | default | unit | allowed | |")
            lines.append("|---|---|---|---|---|---|")
        lines.append(_row(declaration))
        following = declaration.name == _last_name(known)
        if following:
            lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def _last_name(message: str) -> str:
    return [entry.name for entry in declarations() if entry.message == message][-1]
