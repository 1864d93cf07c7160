"""Coded errors, one family for each layer."""


class LinnetwoodError(Exception):
    """An error with a stable code, and a detail for people."""

    layer = 'linnetwood'

    def __init__(self, code: str, detail: str = '') -> None:
        """Set the code and the detail."""
        super().__init__(f'{code}: {detail}' if detail else code)
        self.code = code
        self.detail = detail


class CodecError(LinnetwoodError):
    """Bytes that cannot be decoded as the expected message."""

    layer = 'codec'


class WireError(LinnetwoodError):
    """A connection that could not be opened, or broke."""

    layer = 'wire'


class StoreError(LinnetwoodError):
    """A call to the key-value service that had no effect."""

    layer = 'store'


class StoreAnswerLostError(StoreError):
    """A call to the key-value service that may have taken effect."""


class ConfigError(LinnetwoodError):
    """A configuration that can't be accepted or obtained."""

    layer = 'config'


class SettingsError(LinnetwoodError):
    """A settings file that is rejected as a whole."""

    layer = 'settings'


class SchemaError(LinnetwoodError):
    """A schema file that is rejected as a whole."""

    layer = 'schema'


class WeightsError(LinnetwoodError):
    """Weights that could not be fetched or do not match their digest."""

    layer = 'weights'


class OrderError(LinnetwoodError):
    """An order that an engine refused or did not confirm."""

    layer = 'order'


class CallError(LinnetwoodError):
    """A call that ended without a complete answer."""

    layer = 'call'


class UsageError(LinnetwoodError):
    """A command line that can't be executed as given."""

    layer = 'usage'
