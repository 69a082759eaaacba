"""Abstract base classes of the platform's services that a node uses."""

import abc
import asyncio
from collections.abc import Generator

from . import data

STORE_TIMEOUT_S = 2.0  # default time without any byte of a response


class Store(abc.ABC):
    """Client of the platform's store."""

    @property
    @abc.abstractmethod
    def restore_count(self) -> int | None:
        """How often the store has been restored from a copy, as far as is known.

        After a restore, what was written since the copy was made is lost although it
        was acknowledged, and offsets are assigned again. None before the first
        response, or if the store does not say so.
        """

    @abc.abstractmethod
    async def read_config(
        self, timeout_s: float = STORE_TIMEOUT_S
    ) -> data.StoreRecord | None:
        """Reads the newest config.

        :param timeout_s: time without any byte of the response after which the call
            fails, in seconds.
        :returns: the config, or None if none has been written.
        :raises data.StoreError: if the store gives no usable response.
        """

    @abc.abstractmethod
    async def wait_for_config(
        self, offset: int, wait_s: float, timeout_s: float = STORE_TIMEOUT_S
    ) -> data.StoreRecord | None:
        """Waits for a config that is written at ``offset`` or later.

        :param wait_s: maximum time to wait, in seconds; 0 to return at once.
        :param timeout_s: time without any byte of the response after which the call
            fails, beyond the time to wait, in seconds.
        :returns: the newest one, or None if none is written in that time.
        :raises data.OffsetCompactedError: if the offset is no longer available; the
            newest config must be read instead.
        :raises data.StoreError: if the store gives no usable response.
        """

    @abc.abstractmethod
    async def read_node_records(self) -> list[data.StoreRecord]:
        """Reads the newest record of each node.

        :raises data.StoreError: if the store gives no usable response.
        """

    @abc.abstractmethod
    async def write_node_record(self, key: str, value: bytes) -> None:
        """Writes this node's record; an empty value removes it.

        :raises data.StoreError: if the record may not have been written.
        """


class Platform(abc.ABC):
    """Decodes the platform's formats into the records of :mod:`.data`."""

    @property
    @abc.abstractmethod
    def header_names(self) -> data.HeaderNames:
        """Names of the headers."""

    @abc.abstractmethod
    def load_settings(self) -> data.Settings:
        """Loads the settings of this process.

        :raises data.DecodeError: if they are invalid; the message names the fault.
        :raises OSError: if they cannot be read.
        """

    @abc.abstractmethod
    def parse_config_in_slices(
        self, raw: bytes, previous: data.Config | None
    ) -> Generator[int, None, data.Config]:
        """Parses a config; yields its version between slices of bounded work.

        A config with few customers is parsed without a yield.

        :param previous: config whose unchanged customers are taken over.
        :raises data.DecodeError: if it is invalid; the message names the fault.
        """

    @abc.abstractmethod
    def parse_announcement(
        self, method: str, path: str, body: bytes
    ) -> data.Announcement | None:
        """Parses an announcement of an endpoint.

        :returns: the announcement, or None if method and path are not those of one.
        :raises data.DecodeError: if it is invalid; the message names the fault.
        """

    @abc.abstractmethod
    def is_readiness_path(self, method: str, path: str) -> bool:
        """Returns whether a request is the platform's readiness check."""

    @abc.abstractmethod
    def create_store(
        self, settings: data.StoreSettings, loop: asyncio.AbstractEventLoop
    ) -> Store:
        """Creates the client of the store."""
