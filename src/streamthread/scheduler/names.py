"""The names of tasks on the wire."""

__all__ = ["job_id_of_task", "task_name"]


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return a task's name on the wire."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def job_id_of_task(name: str) -> str:
    """Return the job id at the start of a task's name; ids may contain dots."""
    return name.rsplit(".", 3)[0]
