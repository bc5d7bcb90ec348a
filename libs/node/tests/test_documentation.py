import contextlib
import io
import re
import unittest
from pathlib import Path

DOCS = Path(__file__).resolve().parents[3] / "docs"
_BLOCK = re.compile(r"```python\n(.*?)```", re.DOTALL)


class DocumentationTest(unittest.TestCase):
    def test_the_example_of_the_ports_page_runs(self):
        page = (DOCS / "reference" / "ports.md").read_text()
        (example,) = _BLOCK.findall(page)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            exec(compile(example, "ports.md", "exec"), {"__name__": "example"})
        self.assertIn("tides:1/24/2", output.getvalue())
