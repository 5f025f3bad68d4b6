"""Runs the operators' command line with ``python -m heronladder_tools``."""

from heronladder_tools.main import main

main()
