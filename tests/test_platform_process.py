"""Entries as real processes, from the settings file to the exit code."""

import asyncio
import contextlib
import json
import pathlib
import re
import signal
import socket
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


_NOT_BOUND = "port not bound, trying again"


async def _wait_for_lines(log_path, message, count):
    async with asyncio.timeout(10.0):
        while log_path.read_text().count(message) < count:
            await asyncio.sleep(0.02)


def _catches_sigterm(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (caught,) = re.findall(r"SigCgt:\s*(\w+)", status)
    return bool(int(caught, 16) & 1 << (signal.SIGTERM - 1))


async def _wait_until_started(pid):
    """Wait until a process handles SIGTERM."""
    async with asyncio.timeout(10.0):
        while not _catches_sigterm(pid):
            await asyncio.sleep(0.005)


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

    # Guards against processes that end because a port is still held when
    # they start, and against a stop that waits for the port.
    def test_process_waits_for_a_port_and_can_be_stopped(self, tmp_path):
        async def run():
            site = platform_site.PlatformSite(tmp_path, entry_count=1)
            await site.start()
            try:
                (entry,) = site.entries
                entry.send_signal(signal.SIGKILL)
                await entry.wait()
                with socket.create_server(entry.caller_address):
                    await entry.start(waits_for_ready=False)
                    await _wait_for_lines(entry.log_path, _NOT_BOUND, 1)
                    await asyncio.sleep(1.0)
                await entry.wait_until_ready()
                entry.send_signal(signal.SIGKILL)
                await entry.wait()
                with socket.create_server(entry.caller_address):
                    await entry.start(waits_for_ready=False)
                    await _wait_for_lines(entry.log_path, _NOT_BOUND, 2)
                    entry.send_signal(signal.SIGTERM)
                    async with asyncio.timeout(1.0):
                        return await entry.wait(), entry.log_path
            finally:
                await site.stop()

        exit_code, log_path = asyncio.run(run())
        assert exit_code == 0
        lines = [
            json.loads(line) for line in log_path.read_text().splitlines()
        ]
        not_bound = [line for line in lines if line["message"] == _NOT_BOUND]
        assert [line["use"] for line in not_bound] == ["callers", "callers"]

    # Guards against a process that ends because its settings are written
    # while it starts.
    @pytest.mark.parametrize("length", [None, 0, 40])
    def test_settings_that_are_being_written_are_waited_for(
        self, tmp_path, length
    ):
        async def run():
            site = platform_site.PlatformSite(tmp_path, entry_count=1)
            (entry,) = site.entries
            path = tmp_path / "entry-0.yaml"
            text = path.read_text()
            path.unlink()
            if length is not None:
                path.write_text(text[:length])
            await site.store.start()
            try:
                await entry.start(waits_for_ready=False)
                await _wait_until_started(entry.pid)
                await asyncio.sleep(0.5)
                path.write_text(text)
                await _wait_for_lines(entry.log_path, '"started"', 1)
                entry.send_signal(signal.SIGTERM)
                return await entry.wait(), entry.log_path.read_text()
            finally:
                await site.stop()

        exit_code, log = asyncio.run(run())
        assert exit_code == 0
        lines = [json.loads(line) for line in log.splitlines()]
        (line,) = [
            line
            for line in lines
            if line["message"] == "settings could not be read at first"
        ]
        assert "entry-0.yaml" in line["reason"]
        assert "started" in [line["message"] for line in lines]

    # Guards against processes that end because a supervisor starts them
    # without standard streams.
    @pytest.mark.parametrize("redirection", ["<&-", ">&-", "2>&-", ">&- 2>&-"])
    def test_process_runs_without_standard_streams(
        self, tmp_path, redirection
    ):
        entry = platform_site.EntryProcess("e", tmp_path, "127.0.0.1:1")
        command = f"exec {sys.executable} -m chicorydoor.platform"
        with subprocess.Popen(
            ["/bin/sh", "-c", f"{command} {redirection}"],
            env={
                settings_file.SETTINGS_PATH_VARIABLE: str(tmp_path / "e.yaml"),
                "PATH": "",
            },
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        ) as process:
            for _ in range(1000):
                with contextlib.suppress(OSError):
                    socket.create_connection(entry.caller_address).close()
                    break
                if process.poll() is not None:
                    break
                time.sleep(0.01)
            process.terminate()
            assert process.wait(10.0) == 0

    def test_stop_ends_the_wait_for_settings(self, tmp_path):
        with subprocess.Popen(
            [sys.executable, "-m", "chicorydoor.platform"],
            env={
                settings_file.SETTINGS_PATH_VARIABLE: str(tmp_path / "none"),
                "PATH": "",
            },
            stderr=subprocess.PIPE,
        ) as process:
            asyncio.run(_wait_until_started(process.pid))
            process.send_signal(signal.SIGTERM)
            started_at = time.monotonic()
            assert process.wait() == 0
            assert time.monotonic() - started_at < 1.0
            assert process.stderr.read() == b""

    @pytest.mark.parametrize(
        "text", [None, "self: [", "self: {}", "a: 2020-13-45", "a: !!int b"]
    )
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
