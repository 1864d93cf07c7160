"""How the operators' command line ends."""

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_NOT_KNOWN = 3
EXIT_UNREACHABLE = 4
EXIT_AT_RISK = 5

# Programs that serve end with one of these.
EXIT_FAILED = 1
EXIT_SETTINGS = 2
