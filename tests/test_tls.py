import pathlib

import pytest
import trustme

from waxwingport import settings
from waxwingport import tls


@pytest.fixture
def pair(tmp_path):
    """Paths of a certificate and its key, written to disk."""
    found = settings.TlsSettings(
        str(tmp_path / 'cert.pem'), str(tmp_path / 'key.pem')
    )
    write_pair(found, trustme.CA())
    return found


def write_pair(found, authority):
    issued = authority.issue_cert('127.0.0.1')
    issued.cert_chain_pems[0].write_to_path(found.certificate)
    issued.private_key_pem.write_to_path(found.key)


def test_changed_pair_is_reloaded(pair):
    loaded = tls.load_certificate(pair).ok
    assert not loaded.reload()
    write_pair(pair, trustme.CA())
    assert loaded.reload()
    assert not loaded.reload()


def test_broken_pair_leaves_the_certificate_in_use(pair):
    loaded = tls.load_certificate(pair).ok
    good = pathlib.Path(pair.key).read_bytes()
    pathlib.Path(pair.key).write_bytes(b'nonsense')
    assert not loaded.reload()
    write_pair(pair, trustme.CA())
    assert loaded.reload()
    assert good != pathlib.Path(pair.key).read_bytes()


def test_missing_file_is_named(tmp_path):
    missing = settings.TlsSettings(str(tmp_path / 'no.pem'), 'no.key')
    assert 'no.pem' in tls.load_certificate(missing).error
