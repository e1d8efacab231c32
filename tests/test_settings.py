"""Errors of settings files and of the command line.

An error of a settings file is one line that names the file and the field.
"""

import pathlib

import msgspec
import pytest

from chicorydoor import errors
from chicorydoor.cli import main
from chicorydoor.protocol import settings as settings_module

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_VALID_SETTINGS = {
    "instance": "e1",
    "domain": "d1",
    "callers": {"address": "127.0.0.1", "port": 7101},
    "administration": {"address": "127.0.0.1", "port": 7301},
    "peer": {"address": "127.0.0.1", "port": 7201},
    "store": {"address": "127.0.0.1", "port": 2379},
    "peer_secret": "s" * 16,
    "minting_secret": "m" * 16,
    "operator_digest_by_name": {},
}


class TestSettings:
    def test_example_is_valid(self):
        path = _EXAMPLES / "entry-settings.json"
        assert settings_module.read_settings(path).instance

    @pytest.mark.parametrize(
        ("change", "expected"),
        [
            ({"callers": {"address": "host", "port": 1}}, "$.callers.address"),
            ({"callers": {"address": "::1", "port": -1}}, "$.callers.port"),
            ({"callers": {"address": "::1", "port": "x"}}, "$.callers.port"),
            ({"unknown": 1}, "unknown"),
            ({"instance": 5}, "$.instance"),
            ({"peer_secret": "short"}, "$.peer_secret"),
            ({"timing": {"lease_s": 0.5}}, "$.timing.lease_s"),
            ({"timing": {"heartbeat_s": 0}}, "$.timing.heartbeat_s"),
            ({"timing": {"heartbeat_s": "1s"}}, "heartbeat_s"),
        ],
    )
    def test_error_names_file_and_field(self, change, expected):
        data = msgspec.json.encode({**_VALID_SETTINGS, **change})
        with pytest.raises(errors.SettingsError) as caught:
            settings_module.decode_settings(data, "file.json")
        text = str(caught.value)
        assert text.startswith("file.json: ")
        assert expected in text
        assert "\n" not in text


class TestCommandLine:
    def test_check_accepts_the_example(self, capsys):
        exit_code = main.main(["check", str(_EXAMPLES / "anadolu"), "--json"])
        assert exit_code == 0
        assert '"target_by_id": 40' in capsys.readouterr().out

    def test_check_reports_a_missing_folder(self, capsys, tmp_path):
        exit_code = main.main(["check", str(tmp_path / "none")])
        assert exit_code == 3
        assert "no such folder" in capsys.readouterr().err

    def test_entry_reports_invalid_settings(self, capsys, tmp_path):
        path = tmp_path / "s.json"
        path.write_text("{")
        assert main.main(["entry", "--settings", str(path)]) == 3
        assert str(path) in capsys.readouterr().err

    def test_status_reports_that_no_entry_responds(self, capsys):
        exit_code = main.main(["status", "--admin", "127.0.0.1:1"])
        assert exit_code == 5
        assert "no answer" in capsys.readouterr().err
