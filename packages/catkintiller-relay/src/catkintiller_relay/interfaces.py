"""What a node needs of the platform, as abstract base classes."""

import abc
import asyncio

from . import data


class Store(abc.ABC):
    """The platform's store, as far as a node uses it."""

    @abc.abstractmethod
    async def read_config(self) -> data.StoreRecord | None:
        """Reads the newest config.

        :raises data.StoreError: if the store gives no usable answer.
        """

    @abc.abstractmethod
    async def wait_for_config(
        self, offset: int, wait_s: float
    ) -> data.StoreRecord | None:
        """Waits for a config that was written at ``offset`` or later.

        :returns: the newest one, or None if none came in ``wait_s`` seconds.
        :raises data.OffsetCompactedError: if it must be read anew.
        :raises data.StoreError: if the store gives no usable answer.
        """

    @abc.abstractmethod
    async def read_node_records(self) -> list[data.StoreRecord]:
        """Reads the newest entry of each node.

        :raises data.StoreError: if the store gives no usable answer.
        """

    @abc.abstractmethod
    async def write_node_record(self, key: str, value: bytes) -> None:
        """Writes this node's entry; an empty value removes it.

        :raises data.StoreError: if it may not have been written.
        """


class Platform(abc.ABC):
    """The platform's words, decoded into records of the product."""

    @property
    @abc.abstractmethod
    def headers(self) -> data.HeaderNames:
        """Names of the headers."""

    @abc.abstractmethod
    def load_settings(self) -> data.Settings:
        """Loads the settings of this process.

        :raises data.DecodeError: with what is wrong.
        :raises OSError: if they cannot be read.
        """

    @abc.abstractmethod
    def parse_config(self, raw: bytes) -> data.Config:
        """Parses a config.

        :raises data.DecodeError: with what is wrong.
        """

    @abc.abstractmethod
    def parse_announcement(
        self, method: str, path: str, body: bytes
    ) -> data.Announcement | None:
        """Parses an endpoint's call; None if the path is no such call.

        :raises data.DecodeError: with what is wrong.
        """

    @abc.abstractmethod
    def is_readiness_path(self, method: str, path: str) -> bool:
        """Tells whether a call asks for this node's readiness."""

    @abc.abstractmethod
    def create_store(
        self, settings: data.StoreSettings, loop: asyncio.AbstractEventLoop
    ) -> Store:
        """Makes the client of the store."""
