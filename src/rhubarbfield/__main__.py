"""Run the program as ``python -m rhubarbfield``."""

from rhubarbfield.cli import main

if __name__ == "__main__":
    main()
