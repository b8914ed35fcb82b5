import pathlib

import pytest
import trustme

from waxwingport import settings
from waxwingport import tls


@pytest.fixture
def pair(tmp_path):
    """Paths of a certificate and its key, written to disk."""
    files = settings.TlsSettings(
        str(tmp_path / 'cert.pem'), str(tmp_path / 'key.pem')
    )
    write_pair(files, trustme.CA())
    return files


def write_pair(files, authority):
    issued = authority.issue_cert('127.0.0.1')
    issued.cert_chain_pems[0].write_to_path(files.certificate)
    issued.private_key_pem.write_to_path(files.key)


def test_changed_pair_is_reloaded(pair):
    loaded = tls.load_certificate(pair).ok
    assert not loaded.reload()
    write_pair(pair, trustme.CA())
    assert loaded.reload()
    assert not loaded.reload()


def test_certificate_stays_in_use_if_the_pair_is_broken(pair):
    loaded = tls.load_certificate(pair).ok
    first_key = pathlib.Path(pair.key).read_bytes()
    pathlib.Path(pair.key).write_bytes(b'nonsense')
    assert not loaded.reload()
    write_pair(pair, trustme.CA())
    assert loaded.reload()
    assert first_key != pathlib.Path(pair.key).read_bytes()


def test_error_names_the_missing_file(tmp_path):
    missing = settings.TlsSettings(str(tmp_path / 'no.pem'), 'no.key')
    assert 'no.pem' in tls.load_certificate(missing).error
