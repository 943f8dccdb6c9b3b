"""The controller daemon: replicated logs, placement and operators' commands."""

from rhubarbfield.controller.program import run_controller

__all__ = ["run_controller"]
