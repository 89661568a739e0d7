"""Tests of request validation and of execution in stages."""

import json

import pytest

from lentilspool import config, pipeline

DOCUMENT = config.Document(
    pipelines={
        'plan': config.PipelineDocument(
            stages=(
                config.StageDocument('encode', 'p'),
                config.StageDocument('generate', 'q'),
            ),
            deadline_s=5,
            may_wait=True,
        ),
        'closed': config.PipelineDocument(
            stages=(config.StageDocument('encode', 'p'),), teams=('other',)
        ),
    },
    pools={
        'p': config.PoolDocument(kind='stage'),
        'q': config.PoolDocument(kind='engine'),
    },
    teams={'t': config.TeamDocument(), 'other': config.TeamDocument()},
)


def check(
    fields: dict[str, object], name: str = 'plan'
) -> pipeline.PipelineRequest | pipeline.Invalid:
    template = pipeline.PipelineRequest('r', name, (), '', {}, 0, False, 3)
    body = json.dumps(fields).encode()
    return pipeline.check_request(body, template, DOCUMENT, now=100)


class TestCheckRequest:
    @pytest.mark.parametrize(
        ('name', 'fields', 'status'),
        [
            ('none', {'team': 't', 'input': {}}, 404),
            ('plan', {'team': 'x', 'input': {}}, 403),
            ('closed', {'team': 't', 'input': {}}, 403),
            ('plan', {'team': 't'}, 400),
            ('plan', {'team': 't', 'input': []}, 400),
            ('plan', {'team': 't', 'input': {}, 'deadline_s': 6}, 400),
            ('plan', {'team': 't', 'input': {}, 'deadline_s': 0}, 400),
            ('plan', {'team': 't', 'input': {}, 'deadline_s': 'x'}, 400),
        ],
    )
    def test_invalid_request_is_rejected_with_its_status(
        self, name: str, fields: dict[str, object], status: int
    ) -> None:
        invalid = check(fields, name)
        assert isinstance(invalid, pipeline.Invalid)
        assert invalid.status == status

    def test_request_may_shorten_the_deadline_and_forbid_repeats(self) -> None:
        request = check(
            {'team': 't', 'input': {}, 'deadline_s': 2, 'repeatable': False}
        )
        assert isinstance(request, pipeline.PipelineRequest)
        assert request.deadline == 102
        assert not request.repeatable
        assert not request.may_wait
        assert request.config_version == 3


class TestExecution:
    def test_answers_are_merged_into_the_input_of_later_stages(self) -> None:
        request = check({'team': 't', 'input': {'text': 'a'}})
        assert isinstance(request, pipeline.PipelineRequest)
        execution = pipeline.Execution(request)
        assert execution.complete_stage(b'{"terms": [1]}')
        next_input = execution.stage_input()
        assert next_input.stage.name == 'generate'
        assert json.loads(next_input.body) == {'text': 'a', 'terms': [1]}
        execution.add_cost('cloud', 1)
        execution.add_cost('cloud', 2)
        assert execution.complete_stage(b'{"text": "b"}')
        assert execution.finished
        outcome = execution.complete()
        assert outcome.answer == b'{"text": "b"}'
        costs = [
            (stage_cost.cost, stage_cost.attempts)
            for stage_cost in outcome.cost_by_stage
        ]
        assert costs == [(3, 2)]

    @pytest.mark.parametrize('answer', [b'', b'[]', b'1', b'{', b'\xff'])
    def test_answer_that_is_not_an_object_keeps_the_stage(
        self, answer: bytes
    ) -> None:
        request = check({'team': 't', 'input': {}})
        assert isinstance(request, pipeline.PipelineRequest)
        execution = pipeline.Execution(request)
        assert not execution.complete_stage(answer)
        assert execution.stage.name == 'encode'
