"""An event loop in virtual time, and a network and a disk with faults."""

import asyncio
import errno
import math
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import msgspec

from persimmonhold.replication import LogApplier
from persimmonhold.storage import FileSystem
from persimmonhold.transport import Channel, Receiver, Transport

_Returned = TypeVar('_Returned')
# Private names of the base class, which its type stubs omit.
_TIMERS = '_scheduled'
_READY = '_ready'
_RUN_ONCE = '_run_once'


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that advances to the next timer without waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def time(self) -> float:
        return self.now

    def _run_once(self) -> None:
        timers: list[asyncio.TimerHandle] = getattr(self, _TIMERS)
        if timers and not getattr(self, _READY):
            self.now = max(self.now, timers[0].when())
        run_once: Callable[[], None] = getattr(super(), _RUN_ONCE)
        run_once()


def run_virtual(scenario: Coroutine[Any, Any, _Returned]) -> _Returned:
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(scenario)


def loop_time() -> float:
    return asyncio.get_running_loop().time()


class FakeNetwork:
    """Delays, drops, duplicates and reorders messages; can cut links."""

    def __init__(self, seed: int = 0, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.cut_links: set[tuple[str, str]] = set()
        self.receivers: dict[tuple[str, Channel], Receiver] = {}
        self.sent_bytes: Counter[tuple[str, str]] = Counter()

    def deliver(
        self,
        pair: tuple[str, str],
        channel: Channel,
        payload: bytes,
    ) -> None:
        self.sent_bytes[pair] += len(payload)
        for _ in range(self.rng.choice([1, 1, 1, 2])):
            if self.rng.random() >= self.loss and pair not in self.cut_links:
                asyncio.get_running_loop().call_later(
                    self.rng.random() * 0.01,
                    self._receive,
                    pair,
                    channel,
                    payload,
                )

    def isolate(self, name: str, others: list[str]) -> None:
        for other in others:
            self.cut_links |= {(name, other), (other, name)}

    def _receive(
        self,
        pair: tuple[str, str],
        channel: Channel,
        payload: bytes,
    ) -> None:
        receiver = self.receivers.get((pair[1], channel))
        if receiver is not None and pair not in self.cut_links:
            receiver(pair[0], payload)


class FakeTransport(Transport):
    def __init__(self, name: str, network: FakeNetwork) -> None:
        self.name = name
        self.network = network

    def send(self, peer: str, channel: Channel, payload: bytes) -> None:
        self.network.deliver((self.name, peer), channel, payload)

    def set_receiver(self, channel: Channel, receiver: Receiver) -> None:
        self.network.receivers[self.name, channel] = receiver

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Do nothing: VMs are addressed by name."""


class RecordingApplier(LogApplier):
    """Records payloads in order; fails if an index does not increase."""

    def __init__(self) -> None:
        self.index = 0
        self.payloads: list[bytes] = []

    def apply(self, index: int, payload: bytes) -> object:
        assert index > self.index
        self.index = index
        self.payloads.append(payload)
        return len(self.payloads)

    def encode_state(self) -> bytes:
        return msgspec.msgpack.encode(self.payloads)

    def restore(self, index: int, state: bytes) -> None:
        self.index = index
        self.payloads = msgspec.msgpack.decode(state, type=list[bytes])


class CrashError(OSError):
    """The fake machine crashed at this disk operation."""


class LatestPayloadApplier(RecordingApplier):
    """Keeps the last payload only, as the state does of a document."""

    def apply(self, index: int, payload: bytes) -> object:
        super().apply(index, payload)
        self.payloads = [payload]
        return index


class FakeFile:
    def __init__(self) -> None:
        self.content = b''
        self.synced = b''


class FakeDisk(FileSystem):
    """Tracks synced content separately; can fail at a given step."""

    def __init__(self) -> None:
        self.files: dict[str, FakeFile] = {}
        self.durable: dict[str, FakeFile] = {}
        self.steps = 0
        self.fail_at_step = -1
        self.capacity_bytes = math.inf
        self.peak_bytes = 0

    @property
    def used_bytes(self) -> int:
        return sum(len(one.content) for one in self.files.values())

    def list_names(self) -> tuple[str, ...]:
        return tuple(sorted(self.files))

    def read(self, name: str) -> bytes:
        return self.files[name].content

    def append(self, name: str, content: bytes) -> None:
        self._step()
        # As much is written as there is room for.
        room = max(0, self.capacity_bytes - self.used_bytes)
        written = content[: int(min(room, len(content)))]
        self.files.setdefault(name, FakeFile()).content += written
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        if len(written) < len(content):
            raise OSError(errno.ENOSPC, 'no space left on the fake disk')

    def truncate(self, name: str, size: int) -> None:
        self._step()
        self.files[name].content = self.files[name].content[:size]

    def sync(self, name: str) -> None:
        self._step()
        self.files[name].synced = self.files[name].content

    def rename(self, name: str, new_name: str) -> None:
        self._step()
        self.files[new_name] = self.files.pop(name)

    def remove(self, name: str) -> None:
        self._step()
        self.files.pop(name)

    def sync_directory(self) -> None:
        self._step()
        self.durable = dict(self.files)

    def after_crash(self, rng: random.Random) -> 'FakeDisk':
        """Return the disk after a crash, with random parts of unsynced data."""
        survivor = FakeDisk()
        for name in self.files | self.durable:
            source = rng.choice([self.files, self.durable])
            found = source.get(name)
            if found is not None:
                survivor.files[name] = _create_torn_file(found, rng)
        survivor.durable = dict(survivor.files)
        return survivor

    def _step(self) -> None:
        if self.steps == self.fail_at_step:
            raise CrashError('the machine crashed')
        self.steps += 1


def _create_torn_file(file: FakeFile, rng: random.Random) -> FakeFile:
    """Return a file with all synced and some of the unsynced content."""
    found = FakeFile()
    unsynced = file.content[len(file.synced) :]
    unsynced = unsynced[: rng.randint(0, len(unsynced))]
    before = unsynced[: rng.randint(0, len(unsynced))]
    hole = bytes(rng.randint(0, len(unsynced) - len(before)))
    after = unsynced[len(before) + len(hole) :]
    found.content = file.synced + before + hole + after
    found.synced = found.content
    return found
