import pytest

from waxwingport.commands import check
from waxwingport.configuration import declarations
from waxwingport.configuration import files
from waxwingport.trial import deployments

TOKEN = 'a' * 64


def write(folder, **texts):
    for name, text in texts.items():
        (folder / f'{name}.toml').write_text(text, 'utf-8')


def list_faults(folder):
    return [
        f'{fault.key}: {fault.what}'
        for fault in check.find_faults(None, folder)
    ]


def test_reads_several_files_as_one(tmp_path):
    write(
        tmp_path,
        a='[[pools]]\nname = "p"\nselector = "kind = engine"\n',
        b='[[trainers]]\nname = "t"\npool = "p"\n',
    )
    found = files.read_directory(tmp_path).ok
    assert found.find_pool('p') and found.find_trainer('t')


def test_reports_every_fault_at_once(tmp_path):
    write(
        tmp_path,
        a="""
            [[pools]]
            name = "p"
            selctor = "kind = engine"
            weight = 0
            [[trainers]]
            name = "t"
            pool = "P"
            staleness_bound = "two"
            [[trainers]]
            pool = "p"
        """,
        b='x = [',
        c='[[service]]\nname = "s"\n',
    )
    found = check.find_faults(None, tmp_path)
    assert {fault.file.rpartition('/')[2] for fault in found} == {
        'a.toml',
        'b.toml',
        'c.toml',
    }
    keys = [fault.key for fault in found]
    assert keys == [
        'pools.p.selctor',
        'pools.p.selector',
        'pools.p.weight',
        'trainers.t.staleness_bound',
        'trainers[1].name',
        '',
        'service',
    ]
    assert "did you mean 'selector'?" in found[0].what
    assert "did you mean 'services'?" in found[-1].what
    assert str(found[1]).endswith('a.toml: pools.p.selector: is missing')


POOL = '[[pools]]\nname = "p"\nselector = "kind = engine"\n'


@pytest.mark.parametrize(
    'text, expected',
    [
        ('[[pools]]\nname = "p"\nselector = "a ="\n', 'pools.p.selector'),
        ('[[pools]]\nname = ""\nselector = "a"\n', 'pools.'),
        (
            '[[labels]]\nname="l"\nmatch="a b"\nset={}\n',
            'labels.l.match',
        ),
        (POOL + '[[trainers]]\nname="t"\npool="q"\n', 'trainers.t.pool'),
        (
            POOL + '[[trainers]]\nname="t"\npool="p"\nscoring="p"\n',
            'trainers.t.scoring',
        ),
        (
            POOL + '[[services]]\nname="p"\nselector="a"\n',
            'pools.p.name',
        ),
        (
            '[[services]]\nname="a/b"\nselector="a"\n',
            'services.a/b.name',
        ),
        (POOL + POOL, 'pools.p'),
        (
            '[[callers]]\nname="c"\ntoken_sha256="xyz"\n',
            'callers.c.token_sha256',
        ),
        (
            f'[[callers]]\nname="c"\ntoken_sha256="{TOKEN}"\nallow=["x"]\n',
            'callers.c.allow',
        ),
        (
            f'[[callers]]\nname="c"\ntoken_sha256="{TOKEN}"\n'
            f'[[callers]]\nname="d"\ntoken_sha256="{TOKEN}"\n',
            'callers.c.token_sha256',
        ),
        (
            '[[limits]]\nname="a"\n[[limits]]\nname="b"\n',
            'limits.a.name',
        ),
        ('[pools]\nname = "p"\n', 'pools'),
        ('pools = [3]\n', 'pools[0]'),
    ],
)
def test_fault_names_its_key(tmp_path, text, expected):
    write(tmp_path, a=text)
    found = list_faults(tmp_path)
    assert found and found[0].startswith(expected), found


def test_reference_to_an_invalid_pool_is_no_fault(tmp_path):
    write(
        tmp_path,
        a='[[pools]]\nname="p"\n[[trainers]]\nname="t"\npool="p"\n',
    )
    assert list_faults(tmp_path) == ['pools.p.selector: is missing']


def test_empty_and_missing_directories_are_faults(tmp_path):
    assert list_faults(tmp_path) == [': no *.toml file']
    assert list_faults(tmp_path / 'x') == [': no such directory']


@pytest.mark.parametrize('name', sorted(deployments.DEPLOYMENTS))
def test_formatted_declarations_are_read_back(tmp_path, name):
    shipped = deployments.read_declarations(deployments.DEPLOYMENTS[name])
    write(tmp_path, a=files.format_declarations(shipped))
    found = files.read_directory(tmp_path).ok
    assert set(found.services) == set(shipped.services)
    assert found.trainers == shipped.trainers


SETTINGS = """
[node]
name = "n"
data_centre = "a"
listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:0"
[platform]
log = "127.0.0.1:1"
vm_list = "127.0.0.1:2"
weight_store = "127.0.0.1:3"
"""


@pytest.mark.parametrize(
    'old, new, expected',
    [
        ('', '', []),
        ('name = "n"', 'nam = "n"', ['node.nam', 'node.name']),
        ('127.0.0.1:8080', 'localhost:80', ['node.listen']),
        ('127.0.0.1:2', '127.0.0.1', ['platform.vm_list']),
        ('[platform]', '[plattform]', ['platform', 'plattform']),
        ('[node]', '[logging]\nlevel = 3\n[node]', ['logging.level']),
        ('[node]', '[tls]\nkey = "k"\n[node]', ['tls.certificate']),
        ('"n"', '"n"\nmax_connections = "many"', ['node.max_connections']),
    ],
)
def test_settings_faults(tmp_path, old, new, expected):
    path = tmp_path / 's.toml'
    path.write_text(SETTINGS.replace(old, new, 1) if old else SETTINGS)
    found = check.find_faults(path, None)
    assert [fault.key for fault in found] == expected


def test_lookups_by_name_and_token():
    caller = declarations.Caller('c', TOKEN)
    found = declarations.Declarations(callers=(caller,))
    assert found.find_caller(TOKEN) is caller
    assert found.find_caller('b' * 64) is None
