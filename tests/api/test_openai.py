"""The ``openai`` client library works without changes."""

import openai
import pytest


@pytest.fixture
async def client_and_pool(running_deployment):
    client = openai.AsyncOpenAI(
        base_url=running_deployment.url + '/v1', api_key='none', max_retries=0
    )
    yield client, running_deployment.deployment.pool
    await client.close()


async def test_whole_completion(client_and_pool):
    client, pool = client_and_pool
    answer = await client.completions.create(
        model=pool,
        prompt='Rueckruf 3',
        max_tokens=8,
        temperature=0.2,
        stop=['\n\n'],
        seed=7,
        n=1,
        user='owner-4',
    )
    assert 'Rueckruf 3' in answer.choices[0].text
    assert answer.choices[0].finish_reason in ('stop', 'length')
    assert answer.usage.completion_tokens <= 8
    assert answer.weight_versions == [1]


async def test_prompt_as_a_list_of_one_text(client_and_pool):
    client, pool = client_and_pool
    answer = await client.completions.create(model=pool, prompt=['Kurs 9'])
    assert 'Kurs 9' in answer.choices[0].text


async def test_streamed_completion(client_and_pool):
    client, pool = client_and_pool
    stream = await client.completions.create(
        model=pool,
        prompt='Kurs 5',
        stream=True,
        stream_options={'include_usage': True},
    )
    events = [event async for event in stream]
    text = ''.join(entry.choices[0].text for entry in events if entry.choices)
    assert 'Kurs 5' in text
    assert events[-1].usage.completion_tokens > 0
    assert events[-2].choices[0].finish_reason in ('stop', 'length')


async def test_chat(client_and_pool):
    client, pool = client_and_pool
    parts = [{'type': 'text', 'text': 'Welpe '}, {'type': 'text', 'text': '8'}]
    answer = await client.chat.completions.create(
        model=pool,
        messages=[
            {'role': 'system', 'content': 'kurz'},
            {'role': 'user', 'content': parts},
        ],
        max_completion_tokens=12,
    )
    assert 'Welpe 8' in answer.choices[0].message.content
    assert answer.weight_versions == [1]


async def test_streamed_chat(client_and_pool):
    client, pool = client_and_pool
    stream = await client.chat.completions.create(
        model=pool,
        messages=[{'role': 'user', 'content': 'Welpe 11'}],
        stream=True,
    )
    text = ''
    async for event in stream:
        assert event.object == 'chat.completion.chunk'
        text += event.choices[0].delta.content or ''
    assert 'Welpe 11' in text


@pytest.mark.parametrize(
    'field',
    [
        {'n': 2},
        {'best_of': 3},
        {'echo': True},
        {'logprobs': 2},
        {'suffix': 'x'},
        {'max_tokens': 0},
        {'max_tokens': 10**9},
        {'prompt': ['a', 'b']},
        {'prompt': [1, 2]},
    ],
)
async def test_unsupported_parameter_is_refused_with_400(
    client_and_pool, field
):
    client, pool = client_and_pool
    arguments = {'model': pool, 'prompt': 'x'} | field
    with pytest.raises(openai.BadRequestError) as caught:
        await client.completions.create(**arguments)
    assert caught.value.body['ran'] == 'no'
    assert caught.value.body['detail']


async def test_broken_stream_ends_with_an_error(
    client_and_pool, running_deployment
):
    client, pool = client_and_pool
    stream = await client.completions.create(
        model=pool, prompt='Kurs 5', max_tokens=4096, stream=True
    )
    with pytest.raises(openai.APIError):
        async for _ in stream:
            for engine in running_deployment.engines:
                engine.crash()
