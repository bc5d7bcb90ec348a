"""Output of the tool, as text or JSON."""

import sys

import orjson


class Output:
    """Writer of results and problems to separate streams.

    Parameters
    ----------
    is_json : bool
        Whether results are printed as JSON, one document a line.
    results : TextIO, optional
        Stream of the results; standard output by default.
    problems : TextIO, optional
        Stream of the problems; standard error by default.
    """

    def __init__(self, is_json, results=None, problems=None):
        self._is_json = is_json
        self._results = results or sys.stdout
        self._problems = problems or sys.stderr

    def show(self, document, text):
        """Print a result: the document if the output is JSON, otherwise the text."""
        if self._is_json:
            text = orjson.dumps(document).decode()
        print(text, file=self._results)

    def show_problem(self, text):
        """Print a problem as text."""
        print(f"balsamspokectl: {text}", file=self._problems)


def format_table(headings, rows):
    """Return headings and rows as a table with aligned columns."""
    all_rows = [headings, *rows]
    widths = [max(len(str(cell)) for cell in column) for column in zip(*all_rows)]
    return "\n".join(
        "  ".join(str(cell).ljust(width) for cell, width in zip(row, widths)).rstrip()
        for row in all_rows
    )
