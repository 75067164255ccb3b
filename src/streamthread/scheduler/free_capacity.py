"""What the runners of a pool have free, for a quick look at what may fit."""

import typing as t

import attrs

from ..clocks import boot_s
from .fleet import RunnerState
from .model import StepRun

__all__ = ["FreeCapacity", "Resources", "is_within", "needed"]

Resources = tuple[int, int, int]
"""Cpu in thousandths of a core, memory in MB, and accelerators."""


@attrs.frozen
class FreeCapacity:
    """What single runners have free at most.

    Most steps of a long queue fit nowhere. This detects that without looking at each
    runner for each step.

    :param largest: the maximum of each resource that any runner has free.
    :param maxima: what those runners have free that no other one exceeds in every
        resource.
    """

    largest: Resources
    maxima: tuple[Resources, ...]

    @classmethod
    def among(cls, runners: t.Iterable[RunnerState]) -> "FreeCapacity":
        """Return the maxima over runners; without runners, nothing fits.

        Cold runners that may get no start now are left out.
        """
        clock_s = boot_s()
        free = {
            (
                runner.cpu - runner.used_cpu,
                runner.memory_mb - runner.used_memory_mb,
                runner.gpu - runner.used_gpu,
            )
            for runner in runners
            if runner.cold_until_s <= clock_s or runner.max_starts(clock_s) != 0
        }
        if not free:
            return cls((-1, -1, -1), ())
        maxima: list[Resources] = []
        most_memory_mb = most_gpu = -1
        for cpu, memory_mb, gpu in sorted(free, reverse=True):
            # All of those before have at least as much cpu.
            if memory_mb <= most_memory_mb and gpu <= most_gpu:
                if any(m >= memory_mb and g >= gpu for _, m, g in maxima):
                    continue
            maxima.append((cpu, memory_mb, gpu))
            most_memory_mb = max(most_memory_mb, memory_mb)
            most_gpu = max(most_gpu, gpu)
        cpus, memories_mb, gpus = zip(*free, strict=True)
        return cls((max(cpus), max(memories_mb), max(gpus)), tuple(maxima))

    def may_fit(self, step: StepRun) -> bool:
        """Whether no single resource is too scarce for one task of a step."""
        cpu, memory_mb, gpu = self.largest
        request = step.request
        return (
            request.memory_mb <= memory_mb
            and request.gpu <= gpu
            and step.reserved_cpu <= cpu
        )

    def fits(self, step: StepRun) -> bool:
        """Whether some runner has all resources free for one task of a step."""
        wanted = needed(step)
        return any(is_within(wanted, free) for free in self.maxima)


def needed(step: StepRun) -> Resources:
    """Return the resources that one task of a step reserves."""
    return (step.reserved_cpu, step.request.memory_mb, step.request.gpu)


def is_within(needed: Resources, free: Resources) -> bool:
    """Whether resources are free."""
    return needed[0] <= free[0] and needed[1] <= free[1] and needed[2] <= free[2]
