"""Registry of the commands that change the fleet's state."""

from __future__ import annotations

from rhubarbfield.fleet.state import FleetState
from rhubarbfield.machine import CommandRegistry

fleet_commands: CommandRegistry[FleetState] = CommandRegistry()
