"""Exit codes of the command line and of the programs."""

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_NOT_KNOWN = 3
EXIT_UNREACHABLE = 4
EXIT_AT_RISK = 5

# Exit codes of programs that serve.
EXIT_FAILED = 1
EXIT_SETTINGS = 2
