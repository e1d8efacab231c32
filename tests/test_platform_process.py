"""Entries as real processes, from the settings file to the exit code."""

import asyncio
import json
import pathlib
import re
import signal
import subprocess
import sys
import time

import pytest
import uvloop
import yaml

from chicorydoor.demo import platform_demo
from chicorydoor.platform import documents
from chicorydoor.platform import settings_file
from chicorydoor.standins import platform_site
from chicorydoor.standins import platform_target


def _ignores_sighup(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (ignored,) = re.findall(r"SigIgn:\s*(\w+)", status)
    return bool(int(ignored, 16) & 1 << (signal.SIGHUP - 1))


class TestPlatformDemo:
    def test_no_promise_is_broken(self):
        verdicts = uvloop.run(platform_demo.run_demo())
        assert len(verdicts) == 7
        broken = [verdict for verdict in verdicts if verdict.broken]
        assert broken == []


class TestProcess:
    def test_log_lines_of_a_reload_and_a_planned_stop(self, tmp_path):
        async def run():
            site = platform_site.PlatformSite(tmp_path, entry_count=1)
            await site.start()
            try:
                (entry,) = site.entries
                await site.call(entry, "GET", "/read/1", "traced")
                # Reads the settings again.
                entry.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
                entry.send_signal(signal.SIGTERM)
                return await entry.wait(), entry.log_path
            finally:
                await site.stop()

        exit_code, log_path = asyncio.run(run())
        assert exit_code == 0
        lines = [
            json.loads(line) for line in log_path.read_text().splitlines()
        ]
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
        (request_line,) = [
            line for line in lines if line.get("request_id") == "traced"
        ]
        assert request_line["status"] == 200
        assert request_line["configuration"] == 1
        assert request_line["sends"][0].endswith("answered:200")
        assert request_line["target_region"]
        assert request_line["chosen_as"] == "first-request"
        assert {line["instance"] for line in lines} == {"entry-0"}

    # Guards against a change of the settings that ends a starting process.
    def test_sighup_during_the_start_does_not_end_the_process(self, tmp_path):
        path = tmp_path / "settings.yaml"
        path.write_text("self: {}")
        with subprocess.Popen(
            [sys.executable, "-m", "chicorydoor.platform"],
            env={settings_file.SETTINGS_PATH_VARIABLE: str(path), "PATH": ""},
            stderr=subprocess.PIPE,
        ) as process:
            # The interpreter itself has to start first.
            while process.poll() is None and not _ignores_sighup(process.pid):
                time.sleep(0.005)
            while process.poll() is None:
                process.send_signal(signal.SIGHUP)
                time.sleep(0.01)
            # The invalid settings were read.
            assert process.returncode == 2

    @pytest.mark.parametrize("text", [None, "self: [", "self: {}"])
    def test_rejects_invalid_settings_with_one_line(self, tmp_path, text):
        path = tmp_path / "settings.yaml"
        if text is not None:
            path.write_text(text)
        completed = subprocess.run(
            [sys.executable, "-m", "chicorydoor.platform"],
            env={settings_file.SETTINGS_PATH_VARIABLE: str(path), "PATH": ""},
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert completed.returncode == 2
        assert completed.stderr.startswith("chicorydoor: ")
        assert len(completed.stderr.splitlines()) == 1


class TestChangedSettings:
    async def _serve_from_a_new_domain(self, tmp_path, has_signal):
        """Return the statuses before and after the settings name a domain."""
        site = platform_site.PlatformSite(tmp_path, entry_count=1)
        await site.start()
        new = platform_target.PlatformTarget("t-new", "shop", "kisumu-a")
        site.targets.append(new)
        (entry,) = site.entries
        try:
            await new.start()
            new.register(site.store)
            customer = platform_site.build_customer(
                platform_site.CUSTOMER, [platform_site.CUSTOMER_KEY]
            ) | {"allowedRegions": ["kisumu"]}
            site.store.put(
                documents.CONFIGURATION_KEY,
                platform_site.build_configuration(2, [customer]),
            )
            await asyncio.sleep(1.5)
            before = await site.call(entry, "GET", "/read/1", "before")
            path = tmp_path / f"{entry.name}.yaml"
            settings = yaml.safe_load(path.read_text())
            settings["network"]["zones"]["kisumu-a"] = "kisumu"
            text = yaml.safe_dump(settings)
            # The file is broken for a moment, then replaced.
            path.write_text(text[: len(text) // 2])
            await asyncio.sleep(2.5)
            replacement = tmp_path / "replacement"
            replacement.write_text(text)
            replacement.rename(path)
            if has_signal:
                entry.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3 if has_signal else 2.3)
            after = await site.call(entry, "GET", "/read/1", "after")
            return before.status_code, after.status_code
        finally:
            await site.stop()

    # Guards against targets of a failure domain that was added to the
    # settings and that get no requests until the entry starts again.
    @pytest.mark.parametrize("has_signal", [True, False])
    def test_target_of_an_added_domain_is_used(self, tmp_path, has_signal):
        statuses = asyncio.run(
            self._serve_from_a_new_domain(tmp_path, has_signal)
        )
        assert statuses == (503, 200)
