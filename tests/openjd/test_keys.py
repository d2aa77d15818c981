"""The certificate authority, TLS certificates on a real loopback connection, signatures, and rejected credentials."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import UTC, datetime, timedelta

import pytest
from twisted.internet.task import Clock

from meadowcross.cli import main
from meadowcross.openjd.authentication import TlsContextFactory
from meadowcross.openjd.keys import SERVER_KIND, SUBMITTER_KIND, Authority, CredentialError, read_private
from meadowcross.openjd.signing import SignatureVerifier, sign_request
from simulation.standins import FakeNet, StateService, serve
from tests.openjd.test_gateway import ONE_STEP, FakeControllers
from tests.support.paths import ROOT

SECRET = b"a secret of the agency"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def write_secret_file(directory, name="agency", content=SECRET, mode=0o600):
    directory.mkdir(exist_ok=True)
    file = directory / name
    file.write_bytes(content + b"\n")
    file.chmod(mode)
    return file


BODY, PATH = b'{"key":"k"}', "/v1/submitters/agency/tickets"
SIGNATURE_CASES = [
    # name, changed parts of the request, a word of the rejection, or None if the signature is accepted
    ("as it is", {}, None),
    ("another body", {"body": b"{}"}, "wrong"),
    ("another path", {"path": PATH + "/x"}, "wrong"),
    ("another method", {"method": "GET"}, "wrong"),
    ("another secret", {"secret": b"another secret, as long"}, "wrong"),
    ("a submitter without a secret", {"name": "nobody"}, "wrong"),
    ("a name that leads elsewhere", {"name": ".."}, "wrong"),
    ("an hour early", {"at": -3600.0}, "ago"),
    ("an hour late", {"at": 3600.0}, "ago"),
    ("no signature", {"header": "Basic abc"}, "can be read"),
    ("a name with a comma", {"name": "a, b"}, "can be read"),
]


@pytest.mark.parametrize(("changed", "word"), [s[1:] for s in SIGNATURE_CASES], ids=[s[0] for s in SIGNATURE_CASES])
def test_signature_is_valid_once_for_one_request_within_the_window(changed, word, tmp_path):
    write_secret_file(tmp_path / "secrets")
    verifier = SignatureVerifier(str(tmp_path / "secrets"), lambda: 1e9)
    header = sign_request(
        changed.get("secret", SECRET), "POST", PATH, changed.get("name", "agency"), 1e9 + changed.get("at", 0.0), BODY
    )
    request = (
        changed.get("header", header),
        changed.get("method", "POST"),
        changed.get("path", PATH),
        changed.get("body", BODY),
    )
    if word is None:
        assert verifier.authenticate(*request) == "agency"
        with pytest.raises(CredentialError, match="used before"):
            verifier.authenticate(*request)
        return
    with pytest.raises(CredentialError, match=word) as refused:
        verifier.authenticate(*request)
    assert SECRET.decode() not in str(refused.value)


def test_secret_files_must_be_private_and_are_reloaded_when_changed(tmp_path):
    directory = tmp_path / "secrets"
    file = write_secret_file(directory, mode=0o640)
    with pytest.raises(CredentialError, match="chmod 600"):
        SignatureVerifier(str(directory), time.time)
    file.chmod(0o600)
    verifier = SignatureVerifier(str(directory), lambda: 1e9)
    write_secret_file(directory, content=b"the next secret of it")
    os.utime(file, ns=(1, 1))
    header = sign_request(b"the next secret of it", "POST", PATH, "agency", 1e9, BODY)
    assert verifier.authenticate(header, "POST", PATH, BODY) == "agency"
    file.unlink()
    with pytest.raises(CredentialError, match="wrong"):
        verifier.authenticate(sign_request(SECRET, "POST", PATH, "agency", 1e9, BODY), "POST", PATH, BODY)
    write_secret_file(directory, content=b"short")
    with pytest.raises(CredentialError, match="at least"):
        SignatureVerifier(str(directory), time.time)


def test_authority_issues_lists_and_revokes_certificates(tmp_path, capsys):
    directory = str(tmp_path / "keys")
    directory_option = ["--directory", directory]
    assert main(["keys", "init", "--site", "guild", *directory_option]) == 0
    assert main(["keys", "issue", "gateway-1", "--host", "127.0.0.1", "--host", "gw.example", *directory_option]) == 0
    assert main(["keys", "issue", "agency", "--days", "30", *directory_option]) == 0
    assert main(["keys", "revoke", "agency", *directory_option]) == 0
    assert main(["keys", "list", *directory_option]) == 0
    listed = capsys.readouterr().out.splitlines()[-2:]
    assert "revoked" in listed[0] and "server" in listed[1] and "revoked" not in listed[1]
    assert (os.stat(f"{directory}/agency.key").st_mode & 0o777, os.stat(directory).st_mode & 0o777) == (0o600, 0o700)
    for wrong in (["init"], ["issue", "agency"], ["issue", "../x"], ["issue", "authority"], ["revoke", "nobody"]):
        assert main(["keys", *wrong, *directory_option]) == 2
        assert len(capsys.readouterr().err.splitlines()) == 1
    os.chmod(f"{directory}/authority.key", 0o644)
    assert main(["keys", "list", *directory_option]) == 2 and "chmod 600" in capsys.readouterr().err
    with pytest.raises(CredentialError, match="can't be read"):
        read_private(f"{directory}/none")


def tls_files(authority, name="gateway-1"):
    directory = authority.directory
    return (
        f"{directory}/{name}.pem",
        f"{directory}/{name}.key",
        f"{directory}/authority.pem",
        f"{directory}/revoked.pem",
    )


def test_certificates_are_reloaded_and_an_invalid_renewal_is_ignored(tmp_path, caplog):
    authority = Authority.init(str(tmp_path / "a"), "a", 10)
    authority.issue("gateway-1", SERVER_KIND, 5, ["127.0.0.1"])
    tls = TlsContextFactory(*tls_files(authority))
    first = tls.getContext()
    assert tls.getContext() is first
    agency = authority.issue("agency", SUBMITTER_KIND, 5)
    serial = int(authority.revoke("agency"), 16)
    second = tls.getContext()
    assert second is not first and tls.revoked == {serial} and os.path.exists(agency + ".pem")
    with open(tls_files(authority)[0], "w") as file:
        file.write("no certificate")
    assert tls.getContext() is second and "previous ones stay in use" in caplog.text
    other = Authority.init(str(tmp_path / "b"), "b", 10)
    authority.issue("gateway-2", SERVER_KIND, 5, ["127.0.0.1"])
    with pytest.raises(CredentialError, match="not signed"):
        # The decorator of Twisted's interfaces hides the arguments from mypy.
        TlsContextFactory(*tls_files(authority, "gateway-2")[:3], tls_files(other)[3])  # type: ignore[call-arg]


TLS_CASES = [
    # name, kind of certificate, submitter in the path, secret to sign with, exit status, a word of the output
    ("a certificate", "good", "agency", None, 0, "first"),
    ("a signature", None, "agency", SECRET, 0, "first"),
    ("neither", None, "agency", None, 2, "neither"),
    ("a wrong secret", None, "agency", b"some other secret here", 2, "wrong signature"),
    ("for another", "good", "other", None, 2, "not yours"),
    ("revoked", "revoked", "agency", None, 2, "revoked"),
    ("expired", "expired", "agency", None, 2, "no answer"),
    ("not yet valid", "early", "agency", None, 2, "no answer"),
    ("another site's", "foreign", "agency", None, 2, "no answer"),
    ("another site's gateway", "distrust", "agency", None, 2, "no answer"),
]


def test_only_valid_credentials_are_accepted_over_tls(tmp_path):
    now = datetime.now(UTC)
    own = Authority.init(str(tmp_path / "own"), "own", 100)
    foreign = Authority.init(str(tmp_path / "foreign"), "foreign", 100)
    own.issue("gateway-1", SERVER_KIND, 50, ["127.0.0.1"])

    def issue_certificate(kind):
        """Issue a certificate, and move it with its key to a directory of the submitter; return its path."""
        if kind in ("good", "distrust"):
            path = own.issue("agency", SUBMITTER_KIND, 50)
        elif kind == "foreign":
            path = foreign.issue("agency", SUBMITTER_KIND, 50)
        else:
            valid_from = {"expired": now - timedelta(days=9), "early": now + timedelta(days=2)}.get(kind)
            path = own.issue("agency", SUBMITTER_KIND, 5, valid_from=valid_from)
            if kind == "revoked":
                own.revoke("agency")
        directory = tmp_path / f"of-{kind}"
        directory.mkdir()
        for suffix in (".pem", ".key"):
            os.rename(path + suffix, directory / f"agency{suffix}")
        return str(directory / "agency.pem")

    kinds = {kind: issue_certificate(kind) for kind in ("good", "foreign", "expired", "early", "revoked", "distrust")}
    write_secret_file(tmp_path / "secrets")
    ports = [free_port() for _ in range(3)]
    state = StateService(time.monotonic)
    net = FakeNet(Clock())
    FakeControllers(net)

    class Node:
        lock = None
        handle = staticmethod(net.hosts["n0:1"])

    servers = [serve(state, "127.0.0.1", ports[0]), serve(Node, "127.0.0.1", ports[1])]
    (tmp_path / "tickets.xml").write_text((ROOT / "deploy/tickets.xml").read_text())
    (tmp_path / "ticket.yaml").write_text(ONE_STEP)
    (tmp_path / "gateway.xml").write_text(
        f"<gateway><name>g</name><listen>127.0.0.1:{ports[2]}</listen><state>127.0.0.1:{ports[0]}</state>"
        f"<controllers>127.0.0.1:{ports[1]}</controllers><site>tickets.xml</site><secrets>secrets</secrets>"
        "<tls-certificate>own/gateway-1.pem</tls-certificate><tls-key>own/gateway-1.key</tls-key>"
        "<tls-authority>own/authority.pem</tls-authority><tls-revoked>own/revoked.pem</tls-revoked></gateway>"
    )
    command = [sys.executable, "-m", "meadowcross"]
    log = open(tmp_path / "log", "w")  # noqa: SIM115  (closed with the gateway)
    serve_command = [*command, "tickets", "serve", "--config", str(tmp_path / "gateway.xml")]
    gateway = subprocess.Popen(serve_command, cwd=ROOT, stderr=log)

    def submit(name, kind, submitter, secret):
        trusted = foreign if kind == "distrust" else own
        arguments = ["--key", name, "--submitter", submitter, "--gateway", f"127.0.0.1:{ports[2]}"]
        arguments += ["--authority", f"{trusted.directory}/authority.pem"]
        if kind is not None:
            arguments += ["--certificate", kinds[kind]]
        if secret is not None:
            arguments += ["--secret", str(write_secret_file(tmp_path / f"s-{name}", content=secret))]
        for _ in range(5):
            submit_command = [*command, "ticket", "submit", str(tmp_path / "ticket.yaml"), *arguments]
            result = subprocess.run(submit_command, cwd=ROOT, capture_output=True, timeout=60)
            # A busy machine may fail to respond in time; a submitter retries after 503.
            if b"(503)" not in result.stderr:
                break
        return result.returncode, (result.stdout + result.stderr).decode()

    try:
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", ports[2])) == 0:
                    break
            time.sleep(0.1)
        with ThreadPoolExecutor(3) as executor:
            submissions = [executor.submit(submit, *case[:4]) for case in TLS_CASES]
        for submission, (name, _, _, _, status, word) in zip(submissions, TLS_CASES, strict=True):
            assert submission.result()[0] == status and word in submission.result()[1], (name, submission.result())
    finally:
        gateway.terminate()
        gateway.wait(20)
        log.close()
        for server in servers:
            server.shutdown()
    log_text = (tmp_path / "log").read_text()
    assert SECRET.decode() not in log_text and "refused" in log_text and "Traceback" not in log_text, log_text
    assert gateway.returncode == 0
