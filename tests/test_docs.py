"""Documentation pages agree with the code; docstring examples run."""

import doctest
import importlib
import pathlib
import pkgutil

import prometheus_client
import pytest

import chicorydoor
from chicorydoor.cli import exit_codes
from chicorydoor.protocol import result_codes
from chicorydoor.transport import metrics

_DOCS = pathlib.Path(__file__).parent.parent / "docs"
# The module plot imports matplotlib, an optional dependency.
_NOT_IMPORTED = ("chicorydoor.__main__", "chicorydoor.cli.plot")
_MODULES = sorted(
    module.name
    for module in pkgutil.walk_packages(chicorydoor.__path__, "chicorydoor.")
    if module.name not in _NOT_IMPORTED
)


class TestPages:
    def test_result_codes_are_documented(self):
        page = (_DOCS / "RESULT-CODES.md").read_text()
        rows = [line for line in page.splitlines() if line.startswith("| ")]
        expected = [
            f"| {code.number} | `{code.name}` | {code.status} "
            f"| {code.outcome.value} | {code.meaning} |"
            for code in result_codes.ResultCode
        ]
        assert rows[1:] == expected

    def test_metrics_are_documented(self):
        page = (_DOCS / "METRICS.md").read_text()
        for value in vars(metrics).values():
            if isinstance(value, prometheus_client.metrics.MetricWrapperBase):
                (family,) = value.describe()
                assert f"| `{family.name}` |" in page
                assert family.documentation in page

    def test_exit_codes_are_documented(self):
        page = (_DOCS / "OPERATING.md").read_text()
        for code in exit_codes.ExitCode:
            assert f"| {code.value} | `{code.name}` |" in page


class TestDocstrings:
    @pytest.mark.parametrize("name", _MODULES)
    def test_module_docstring_and_examples(self, name):
        module = importlib.import_module(name)
        assert module.__doc__
        failed, _ = doctest.testmod(module)
        assert failed == 0
