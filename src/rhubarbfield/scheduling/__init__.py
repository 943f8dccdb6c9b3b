"""Jobs of steps, placed on workers that the system calls."""
