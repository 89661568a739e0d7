"""Availability of the results that stages read from each other."""

from collections.abc import Sequence

from lentilspool.serving import _stage_state

Stages = Sequence[_stage_state.StageState]


def are_held(stages: Stages, number: int) -> bool:
    """Whether all results that a stage reads are available."""
    return all(
        stages[earlier].all_results_held
        for earlier in stages[number].stage_request.after
    )


def were_dropped(stages: Stages, number: int) -> bool:
    """Whether any results that a stage reads were freed."""
    return any(
        stages[earlier].freed for earlier in stages[number].stage_request.after
    )


def were_made(stages: Stages, number: int) -> bool:
    """Whether all stages that a stage reads are done.

    Their results may have been freed since.
    """
    return all(
        stages[earlier].done for earlier in stages[number].stage_request.after
    )


def stages_to_rerun(stages: Stages, number: int) -> list[int]:
    """Return the stages to run again to restore the inputs of a stage.

    These are the stages that it reads and, where their own inputs were
    freed, also the stages that those read.
    """
    found: list[int] = []
    for earlier in stages[number].stage_request.after:
        found.append(earlier)
        if were_dropped(stages, earlier):
            found.extend(stages_to_rerun(stages, earlier))
    return found


def no_longer_read(stages: Stages) -> list[int]:
    """Return stages whose results no other stage will fetch again."""
    return [
        number
        for number, stage in enumerate(stages)
        if stage.held and _all_fetched(stages, number)
    ]


def _all_fetched(stages: Stages, number: int) -> bool:
    readers = [
        stage
        for stage in stages
        if number in stage.stage_request.after and stage.stage_request.pieces
    ]
    return bool(readers) and all(stage.inputs_read for stage in readers)
