"""What the tool prints, for people or as JSON."""

import sys

import orjson


class Output:
    """Print results to one stream and problems to another.

    Parameters
    ----------
    is_json : bool
        Whether results are JSON, one document a line.
    results, problems : TextIO
        Where to print.
    """

    def __init__(self, is_json, results=None, problems=None):
        self._is_json = is_json
        self._results = results or sys.stdout
        self._problems = problems or sys.stderr

    def show(self, document, text):
        """Print one result: the document as JSON, or the text."""
        if self._is_json:
            text = orjson.dumps(document).decode()
        print(text, file=self._results)

    def show_problem(self, text):
        """Print a problem for people."""
        print(f"balsamspokectl: {text}", file=self._problems)


def format_table(headings, rows):
    """Return rows of texts as a table."""
    everything = [headings, *rows]
    widths = [max(len(str(cell)) for cell in column) for column in zip(*everything)]
    return "\n".join(
        "  ".join(str(cell).ljust(width) for cell, width in zip(row, widths)).rstrip()
        for row in everything
    )
