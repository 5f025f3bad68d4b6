"""Emulated engines, services, platform, network and disks for tests and simulations."""
