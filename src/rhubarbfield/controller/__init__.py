"""The daemon that decides: replicated logs, placement, operators' commands."""

from rhubarbfield.controller.program import run_controller

__all__ = ["run_controller"]
