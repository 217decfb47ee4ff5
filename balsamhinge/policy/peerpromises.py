"""Until when other instances begin no change of a primary."""

import attrs

__all__ = ["PeerPromises"]


@attrs.define
class _Promise:
    """Latest promise of a process of an instance.

    Parameters
    ----------
    process : int
        Identifier of the process, see `MessageTimestamp`.
    earlier_until : float
        Boot-clock seconds until which the process before it had promised.
    until : float
        Boot-clock seconds until which it has promised itself.
    knows_changes : bool
        Whether it has told of a read of the store, and so of all changes of
        the process before it.
    """

    process: int
    earlier_until: float
    until: float = float("-inf")
    knows_changes: bool = False

    @property
    def instance_until(self):
        """Boot-clock seconds until which neither process begins a change."""
        return self.until if self.knows_changes else self.earlier_until


class PeerPromises:
    """Promises that instances have made in messages of their own."""

    def __init__(self):
        self._promises = {}

    def record_process(self, name, process, knows_changes):
        """Record which process of an instance has sent a message.

        Parameters
        ----------
        name : str
            Name of the instance.
        process : int
            Identifier of the process.
        knows_changes : bool
            Whether the message tells of a read of the store.
        """
        promise = self._promises.get(name)
        if promise is None or promise.process != process:
            earlier = promise.instance_until if promise else float("-inf")
            promise = self._promises[name] = _Promise(process, earlier)
        promise.knows_changes |= knows_changes

    def record(self, name, until):
        """Record a promise of the process that has last sent a message.

        Parameters
        ----------
        name : str
            Name of the instance.
        until : float
            Boot-clock seconds.
        """
        promise = self._promises.get(name)
        if promise is not None:
            promise.until = max(promise.until, until)

    def valid_until(self, name):
        """Return until when an instance begins no change.

        Counts the processes that it has run so far.

        Returns
        -------
        float
            Boot-clock seconds; minus infinite if it has never promised.
        """
        promise = self._promises.get(name)
        return promise.instance_until if promise else float("-inf")
