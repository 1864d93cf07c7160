"""Coded errors, one family for each layer."""


class LinnetwoodError(Exception):
    """Carry a stable code beside the words for a person."""

    layer = 'linnetwood'

    def __init__(self, code: str, detail: str = '') -> None:
        """Keep the code and the detail."""
        super().__init__(f'{code}: {detail}' if detail else code)
        self.code = code
        self.detail = detail


class CodecError(LinnetwoodError):
    """Bytes that are not the message they should be."""

    layer = 'codec'


class WireError(LinnetwoodError):
    """A connection that could not be made or did not hold."""

    layer = 'wire'


class StoreError(LinnetwoodError):
    """A call to the key-value service that surely had no effect."""

    layer = 'store'


class StoreAnswerLostError(StoreError):
    """A call to the key-value service that may have taken effect."""


class ConfigError(LinnetwoodError):
    """A configuration that can't be accepted or learned."""

    layer = 'config'


class SettingsError(LinnetwoodError):
    """A settings file that is refused whole."""

    layer = 'settings'


class SchemaError(LinnetwoodError):
    """A schema file that is refused whole."""

    layer = 'schema'


class WeightsError(LinnetwoodError):
    """Weights that could not be fetched or do not match their digest."""

    layer = 'weights'


class OrderError(LinnetwoodError):
    """An order that an engine refused or did not confirm."""

    layer = 'order'


class CallError(LinnetwoodError):
    """A caller's call that ended without a whole answer."""

    layer = 'call'


class UsageError(LinnetwoodError):
    """A command line that can't be carried out as given."""

    layer = 'usage'
