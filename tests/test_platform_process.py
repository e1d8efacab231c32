"""Entries as real processes, from their settings file to their end."""

import asyncio
import json
import signal
import subprocess
import sys

import pytest
import uvloop

from chicorydoor.demo import platform_session
from chicorydoor.platform import settings
from chicorydoor.standins import platform_site


class TestSession:
    def test_promises_are_kept(self):
        verdicts = uvloop.run(platform_session.run())
        assert len(verdicts) == 7
        broken = [verdict for verdict in verdicts if verdict.broken]
        assert broken == []


class TestProcess:
    def test_log_lines_and_planned_stop(self, tmp_path):
        async def run():
            site = platform_site.PlatformSite(tmp_path, entries=1)
            await site.start()
            try:
                (entry,) = site.entries
                await site.call(entry, "GET", "/read/1", "traced")
                entry.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
                entry.send_signal(signal.SIGTERM)
                return await entry.wait(), entry.log_path
            finally:
                await site.stop()

        exit_code, path = asyncio.run(run())
        assert exit_code == 0
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        messages = [line["message"] for line in lines]
        for expected in (
            "started",
            "configuration in force",
            "target registered",
            "settings read again",
            "stopping",
            "stopped",
        ):
            assert expected in messages
        (request,) = [
            line for line in lines if line.get("request_id") == "traced"
        ]
        assert request["status"] == 200
        assert request["configuration"] == 1
        assert request["sends"][0].endswith("answered:200")
        assert {line["instance"] for line in lines} == {"entry-0"}

    @pytest.mark.parametrize("text", [None, "self: [", "self: {}"])
    def test_settings_that_are_not_valid(self, tmp_path, text):
        path = tmp_path / "settings.yaml"
        if text is not None:
            path.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "chicorydoor.platform"],
            env={settings.PATH_VARIABLE: str(path), "PATH": ""},
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert done.returncode == 2
        assert done.stderr.startswith("chicorydoor: ")
        assert len(done.stderr.splitlines()) == 1
