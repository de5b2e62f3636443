"""The messages of a replica that wait to be sent. Pure."""

from __future__ import annotations

from collections.abc import Callable

from mothstall.store.raft.messages import AppendEntries, Message


class Outbox:
    """Holds messages in the order in which they were added."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self._examined_count = 0  # messages at the front that `take_early` has already examined

    def send(self, message: Message) -> None:
        """Add a message that is sent after the next write."""
        self.messages.append(message)

    def take_all(self) -> list[Message]:
        """Remove and return all messages."""
        messages = self.messages
        self.messages = []
        self._examined_count = 0
        return messages

    def take_early(self, early_part: Callable[[Message], Message | None]) -> list[Message]:
        """Return the messages, or parts of them, that may be sent before the next write.

        A message stays in the outbox unless it is returned unchanged. Each message is examined
        once. Of several `AppendEntries` to one recipient only the newest is returned.

        Args:
            early_part: Returns the part of a message that may be sent now, or None.
        """
        early: dict[object, Message] = {}
        remaining = self.messages[: self._examined_count]
        for position, message in enumerate(self.messages[self._examined_count :]):
            part = early_part(message)
            if part is not None:
                is_append = isinstance(message, AppendEntries)
                early[message.recipient if is_append else position] = part
            if part != message:
                remaining.append(message)
        self.messages = remaining
        self._examined_count = len(remaining)
        return list(early.values())
