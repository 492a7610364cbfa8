"""Tests of how the platform's directory spreads callers by weight."""

import random
from pathlib import Path

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from persimmonhold.directory import DirectoryEntry, sample_addresses
from persimmonhold.platform._settings_file import read_settings_file
from persimmonhold.platform._vm_limits import VmLimits

_ANSWERS = 4000
_MIXED = tuple(0.387 if one % 2 else 1.29 for one in range(100))
_FILE = """
node-name = "n1"
ip = "127.0.0.1"
zone = "z1"
internal-ports = [7000, 7010]
seeds = ["127.0.0.1:7000"]
[listen]
frontend = "127.0.0.1:8000"
[cloud]
address = "127.0.0.1:9000"
"""


def _entries(*weights: float, domain: str = 'd1') -> list[DirectoryEntry]:
    return [
        DirectoryEntry(
            address=f'{domain}-{number}', failure_domain=domain, weight=weight
        )
        for number, weight in enumerate(weights)
    ]


def _pick_shares(entries: list[DirectoryEntry]) -> dict[str, float]:
    """Return how often callers pick each address, relative to its weight."""
    rng = random.Random(1)
    picked = dict.fromkeys((one.address for one in entries), 0)
    for _ in range(_ANSWERS):
        picked[rng.choice(sample_addresses(entries, 64, rng))] += 1
    total = sum(one.weight for one in entries)
    return {
        one.address: picked[one.address] / _ANSWERS / one.weight * total
        for one in entries
    }


@pytest.mark.parametrize('weight', [1, 1.0, 0.387, 1.29])
@pytest.mark.parametrize('count', [0, 1, 3, 64, 65, 540])
def test_answers_with_equal_weights_are_as_before(
    weight: float, count: int
) -> None:
    entries = _entries(*(weight for _ in range(count)))
    before = [one.address for one in entries][:64]
    rng = random.Random(1)
    assert_that(sample_addresses(entries, 64, rng), Equals(before))


@pytest.mark.parametrize(
    'weights',
    [
        (0.387,) * 5 + (1.29,) * 5,
        (0.387,) * 40 + (1.29,) * 25,
        (0.9,) * 60 + (1.0,),
    ],
)
def test_callers_are_spread_by_weight(weights: tuple[float, ...]) -> None:
    """With equal shares, small VMs are overloaded first."""
    shares = sorted(_pick_shares(_entries(*weights)).values())
    third = len(shares) // 3
    for some in (shares[:third], shares[-third:]):
        mean = sum(some) / len(some)
        assert_that(mean, GreaterThan(0.6))
        assert_that(mean, LessThan(1.5))
    entries = _entries(*weights)
    rng = random.Random(2)
    light = [one.address for one in entries if one.weight < max(weights)]
    picks = [
        rng.choice(sample_addresses(entries, 64, rng)) for _ in range(_ANSWERS)
    ]
    share = sum(one in light for one in picks) / _ANSWERS
    expected = sum(one for one in weights if one < max(weights)) / sum(weights)
    assert_that(abs(share - expected), LessThan(0.03))


def test_no_answer_is_empty_beside_a_large_vm() -> None:
    """An entry that is due more than one address is always included."""
    entries = _entries(100, *(0.1 for _ in range(20)))
    rng = random.Random(1)
    for _ in range(100):
        answer = sample_addresses(entries, 64, rng)
        assert_that(answer[:1], Equals(['d1-0']))


def test_own_failure_domain_is_enough_if_it_fills_the_answer() -> None:
    near = _entries(*_MIXED, domain='near')
    far = _entries(*_MIXED, domain='far')
    sample = sample_addresses([*near, *far], 64, random.Random(1))
    assert_that({one.partition('-')[0] for one in sample}, Equals({'near'}))
    few = sample_addresses([*near[:20], *far], 64, random.Random(1))
    domains = [one.partition('-')[0] for one in few]
    assert_that(domains, Equals(sorted(domains, reverse=True)))
    assert_that(set(domains), Equals({'near', 'far'}))


@pytest.mark.parametrize(
    ('limits', 'expected'),
    [
        ('', 1),
        ('[limits]\nmemory-mb = 160\n', 1),
        ('[limits]\ncores = 3\ncpu-share = 0.43\n', 1.29),
        ('[limits]\ncores = 0.9\ncpu-share = 0.43\n', 0.387),
        ('[limits]\ncores = 3\n', 1),
        ('[limits]\ncores = "3"\ncpu-share = 0.43\n', 1),
        ('[limits]\ncores = -3\ncpu-share = 0.43\n', 1),
        ('[limits]\ncores = nan\ncpu-share = 0.43\n', 1),
        ('[limits]\ncores = inf\ncpu-share = 0.43\n', 1),
        ('[limits]\ncores = true\ncpu-share = 0.43\n', 1),
        ('[limits]\ncores = 10000\ncpu-share = 1\n', 100),
    ],
)
def test_weight_is_that_of_the_usable_cores(
    tmp_path: Path, limits: str, expected: float
) -> None:
    """Unusable values were ignored before, and must not prevent a start."""
    path = tmp_path / 'settings.toml'
    path.write_text(_FILE + limits, encoding='utf-8')
    settings = read_settings_file(path).unwrap().settings
    assert_that(settings.callers.weight, Equals(expected))


@pytest.mark.parametrize('stated', ['inf', 'nan', '-1', 'true', '"many"', '0'])
def test_odd_memory_and_descriptors_fall_back_to_defaults(
    stated: str,
) -> None:
    # An odd value ended the start, or set a budget without a bound.
    limits = msgspec.toml.decode(
        f'memory-mb = {stated}\nmax-fds = {stated}', type=VmLimits
    )
    assert_that(limits.memory, Equals(160))
    assert_that(limits.descriptors, Equals(0))
