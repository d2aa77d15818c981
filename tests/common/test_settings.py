"""Tests of the settings files: accepted and rejected values, and the error messages."""

from __future__ import annotations

import pytest

from meadowcross.common.settings import OperatorSettings, SettingsError, load_operator_settings, load_settings
from meadowcross.controller.main import main

VALID_SETTINGS = """
host_name = "paddock-0"
zone = "menai"
api_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
something_new = 1
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = ["menai"]
[facts.workers]
report_s = 3.0
lease_s = 16.0
cancel_s = 41
[facts.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 24
[facts.cloud]
rps = 5.0
list_lag_s = 5.0
"""


def test_unknown_fields_are_ignored(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text(VALID_SETTINGS)
    assert load_settings(str(path)).facts.workers.cancel_s == 41.0


@pytest.mark.parametrize(
    ("old", "new", "expected_message"),
    [
        ('host_name = "paddock-0"', "", "host_name"),
        ("rps = 200.0", 'rps = "many"', "rps"),
        ("lease_s = 16.0", "lease_s = -1.0", "lease_s"),
        ('api_addr = "10.0.0.1:8080"', 'api_addr = "here"', "api_addr"),
        ("[facts.cloud]", "[facts.cloud", "s.toml"),
    ],
)
def test_invalid_settings_end_the_start_with_status_2_and_one_line(tmp_path, capsys, old, new, expected_message):
    path = tmp_path / "s.toml"
    path.write_text(VALID_SETTINGS.replace(old, new))
    assert main(["--config", str(path), "--check"]) == 2
    error = capsys.readouterr().err
    assert expected_message in error and "s.toml" in error and error.count("\n") == 1


@pytest.mark.parametrize(
    ("xml", "expected_message"),
    [
        ("<meadowcross><gama>1</gama></meadowcross>", "gama"),
        ("<meadowcross><gamma>much</gamma></meadowcross>", "gamma"),
        ("<meadowcross><delta>0</delta></meadowcross>", "above 0"),
        ("<meadowcross><alpha>0.9</alpha></meadowcross>", "sum to 1"),
        ("<meadowcross><hold-s>900</hold-s></meadowcross>", "hold-s"),
        ("<meadowcross><gamma>1</gamma><gamma>1</gamma></meadowcross>", "twice"),
        ('<!DOCTYPE m [<!ENTITY e "1">]><meadowcross><gamma>&e;</gamma></meadowcross>', "entity"),
        ("<other/>", "expected <meadowcross>"),
        ("<meadowcross>", "well-formed"),
    ],
)
def test_invalid_operator_settings_are_rejected(tmp_path, xml, expected_message):
    path = tmp_path / "o.xml"
    path.write_text(xml)
    with pytest.raises(SettingsError, match=expected_message):
        load_operator_settings(str(path))


def test_valid_operator_settings_are_loaded(tmp_path):
    path = tmp_path / "o.xml"
    path.write_text("<meadowcross><alpha>0.7</alpha><beta>0.3</beta><move-period-s>5</move-period-s></meadowcross>")
    assert load_operator_settings(str(path)) == OperatorSettings(alpha=0.7, beta=0.3, move_period_s=5.0)
