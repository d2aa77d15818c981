"""Keys: the authority, certificates over real TLS on loopback, signatures, and all that must be refused."""

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
from meadowcross.openjd.guard import Tls
from meadowcross.openjd.keys import SERVER, SUBMITTER, Authority, KeyTrouble, read_private
from meadowcross.openjd.signing import Signatures, signature
from simulation.standins import FakeNet, StateService, serve
from tests.openjd.test_gateway import ONE, Nodes
from tests.support.paths import ROOT

SECRET = b"a secret of the agency"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def secret_file(folder, name="agency", content=SECRET, mode=0o600):
    folder.mkdir(exist_ok=True)
    file = folder / name
    file.write_bytes(content + b"\n")
    file.chmod(mode)
    return file


BODY, PATH = b'{"key":"k"}', "/v1/submitters/agency/tickets"
SIGNED = [
    # name, what is changed, a word of the refusal, or none
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


@pytest.mark.parametrize(("changed", "word"), [s[1:] for s in SIGNED], ids=[s[0] for s in SIGNED])
def test_a_signature_holds_for_one_request_of_one_submitter_for_a_while(changed, word, tmp_path):
    secret_file(tmp_path / "secrets")
    checks = Signatures(str(tmp_path / "secrets"), lambda: 1e9)
    made = signature(
        changed.get("secret", SECRET), "POST", PATH, changed.get("name", "agency"), 1e9 + changed.get("at", 0.0), BODY
    )
    asked = (
        changed.get("header", made),
        changed.get("method", "POST"),
        changed.get("path", PATH),
        changed.get("body", BODY),
    )
    if word is None:
        assert checks.submitter(*asked) == "agency"
        with pytest.raises(KeyTrouble, match="used before"):
            checks.submitter(*asked)
        return
    with pytest.raises(KeyTrouble, match=word) as refused:
        checks.submitter(*asked)
    assert SECRET.decode() not in str(refused.value)


def test_secrets_are_their_owners_alone_and_may_change_while_it_serves(tmp_path):
    folder = tmp_path / "secrets"
    file = secret_file(folder, mode=0o640)
    with pytest.raises(KeyTrouble, match="chmod 600"):
        Signatures(str(folder), time.time)
    file.chmod(0o600)
    checks = Signatures(str(folder), lambda: 1e9)
    secret_file(folder, content=b"the next secret of it")
    os.utime(file, ns=(1, 1))
    made = signature(b"the next secret of it", "POST", PATH, "agency", 1e9, BODY)
    assert checks.submitter(made, "POST", PATH, BODY) == "agency"
    file.unlink()
    with pytest.raises(KeyTrouble, match="wrong"):
        checks.submitter(signature(SECRET, "POST", PATH, "agency", 1e9, BODY), "POST", PATH, BODY)
    secret_file(folder, content=b"short")
    with pytest.raises(KeyTrouble, match="at least"):
        Signatures(str(folder), time.time)


def test_an_authority_issues_lists_and_revokes(tmp_path, capsys):
    folder = str(tmp_path / "keys")
    where = ["--directory", folder]
    assert main(["keys", "init", "--site", "guild", *where]) == 0
    assert main(["keys", "issue", "gateway-1", "--host", "127.0.0.1", "--host", "gw.example", *where]) == 0
    assert main(["keys", "issue", "agency", "--days", "30", *where]) == 0
    assert main(["keys", "revoke", "agency", *where]) == 0
    assert main(["keys", "list", *where]) == 0
    listed = capsys.readouterr().out.splitlines()[-2:]
    assert "revoked" in listed[0] and "server" in listed[1] and "revoked" not in listed[1]
    assert (os.stat(f"{folder}/agency.key").st_mode & 0o777, os.stat(folder).st_mode & 0o777) == (0o600, 0o700)
    for wrong in (["init"], ["issue", "agency"], ["issue", "../x"], ["issue", "authority"], ["revoke", "nobody"]):
        assert main(["keys", *wrong, *where]) == 2
        assert len(capsys.readouterr().err.splitlines()) == 1
    os.chmod(f"{folder}/authority.key", 0o644)
    assert main(["keys", "list", *where]) == 2 and "chmod 600" in capsys.readouterr().err
    with pytest.raises(KeyTrouble, match="can't be read"):
        read_private(f"{folder}/none")


def files_of(authority, name="gateway-1"):
    folder = authority.directory
    return f"{folder}/{name}.pem", f"{folder}/{name}.key", f"{folder}/authority.pem", f"{folder}/revoked.pem"


def test_certificates_are_renewed_without_a_restart_and_a_bad_renewal_changes_nothing(tmp_path, caplog):
    authority = Authority.init(str(tmp_path / "a"), "a", 10)
    authority.issue("gateway-1", SERVER, 5, ["127.0.0.1"])
    tls = Tls(*files_of(authority))
    first = tls.getContext()
    assert tls.getContext() is first
    agency = authority.issue("agency", SUBMITTER, 5)
    serial = int(authority.revoke("agency"), 16)
    second = tls.getContext()
    assert second is not first and tls.revoked == {serial} and os.path.exists(agency + ".pem")
    with open(files_of(authority)[0], "w") as file:
        file.write("no certificate")
    assert tls.getContext() is second and "stay as they were" in caplog.text
    other = Authority.init(str(tmp_path / "b"), "b", 10)
    authority.issue("gateway-2", SERVER, 5, ["127.0.0.1"])
    with pytest.raises(KeyTrouble, match="not signed"):
        # The decorator of Twisted's interfaces hides the arguments.
        Tls(*files_of(authority, "gateway-2")[:3], files_of(other)[3])  # type: ignore[call-arg]


ASKED = [
    # name, certificate's maker, who is asked for, whether it signs, status 0, or 2 and a word
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


def test_over_tls_only_who_shows_a_key_that_holds_is_served(tmp_path):
    now = datetime.now(UTC)
    own = Authority.init(str(tmp_path / "own"), "own", 100)
    foreign = Authority.init(str(tmp_path / "foreign"), "foreign", 100)
    own.issue("gateway-1", SERVER, 50, ["127.0.0.1"])

    def made(kind):
        """A folder with the submitter's files, as an agency would have them."""
        if kind in ("good", "distrust"):
            path = own.issue("agency", SUBMITTER, 50)
        elif kind == "foreign":
            path = foreign.issue("agency", SUBMITTER, 50)
        else:
            begins = {"expired": now - timedelta(days=9), "early": now + timedelta(days=2)}.get(kind)
            path = own.issue("agency", SUBMITTER, 5, begins=begins)
            if kind == "revoked":
                own.revoke("agency")
        folder = tmp_path / f"of-{kind}"
        folder.mkdir()
        for ending in (".pem", ".key"):
            os.rename(path + ending, folder / f"agency{ending}")
        return str(folder / "agency.pem")

    kinds = {kind: made(kind) for kind in ("good", "foreign", "expired", "early", "revoked", "distrust")}
    secret_file(tmp_path / "secrets")
    ports = [free_port() for _ in range(3)]
    state = StateService(time.monotonic)
    net = FakeNet(Clock())
    Nodes(net)

    class Node:
        lock = None
        handle = staticmethod(net.hosts["n0:1"])

    servers = [serve(state, "127.0.0.1", ports[0]), serve(Node, "127.0.0.1", ports[1])]
    (tmp_path / "tickets.xml").write_text((ROOT / "deploy/tickets.xml").read_text())
    (tmp_path / "ticket.yaml").write_text(ONE)
    (tmp_path / "gateway.xml").write_text(
        f"<gateway><name>g</name><listen>127.0.0.1:{ports[2]}</listen><state>127.0.0.1:{ports[0]}</state>"
        f"<controllers>127.0.0.1:{ports[1]}</controllers><site>tickets.xml</site><secrets>secrets</secrets>"
        "<tls-certificate>own/gateway-1.pem</tls-certificate><tls-key>own/gateway-1.key</tls-key>"
        "<tls-authority>own/authority.pem</tls-authority><tls-revoked>own/revoked.pem</tls-revoked></gateway>"
    )
    command = [sys.executable, "-m", "meadowcross"]
    log = open(tmp_path / "log", "w")  # noqa: SIM115  (closed with the gateway)
    serving = [*command, "tickets", "serve", "--config", str(tmp_path / "gateway.xml")]
    gateway = subprocess.Popen(serving, cwd=ROOT, stderr=log)

    def submit(name, kind, who, secret):
        trusted = foreign if kind == "distrust" else own
        arguments = ["--key", name, "--submitter", who, "--gateway", f"127.0.0.1:{ports[2]}"]
        arguments += ["--authority", f"{trusted.directory}/authority.pem"]
        if kind is not None:
            arguments += ["--certificate", kinds[kind]]
        if secret is not None:
            arguments += ["--secret", str(secret_file(tmp_path / f"s-{name}", content=secret))]
        for _ in range(5):
            asked = [*command, "ticket", "submit", str(tmp_path / "ticket.yaml"), *arguments]
            done = subprocess.run(asked, cwd=ROOT, capture_output=True, timeout=60)
            # What a busy machine can't do in time is asked again, as any submitter would.
            if b"(503)" not in done.stderr:
                break
        return done.returncode, (done.stdout + done.stderr).decode()

    try:
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", ports[2])) == 0:
                    break
            time.sleep(0.1)
        with ThreadPoolExecutor(3) as several:
            asked = [several.submit(submit, *case[:4]) for case in ASKED]
        for said, (name, _, _, _, status, word) in zip(asked, ASKED, strict=True):
            assert said.result()[0] == status and word in said.result()[1], (name, said.result())
    finally:
        gateway.terminate()
        gateway.wait(20)
        log.close()
        for server in servers:
            server.shutdown()
    told = (tmp_path / "log").read_text()
    assert SECRET.decode() not in told and "refused" in told and "Traceback" not in told, told
    assert gateway.returncode == 0
