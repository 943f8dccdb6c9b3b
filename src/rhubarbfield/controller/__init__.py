"""The daemon that decides: replicated logs, placement, operators' commands."""

from rhubarbfield.controller.daemon import run_controller

__all__ = ["run_controller"]
