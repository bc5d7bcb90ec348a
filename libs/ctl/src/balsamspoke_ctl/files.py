"""Reader of catalogue files, with the line of each object and field.

A file is YAML or JSON: a list of objects, or several YAML documents with one object
or list each. An object is a mapping with ``kind``, ``name`` and its fields.
"""

from dataclasses import dataclass, field

import yaml
from balsamspoke_catalogue import CatalogueError, decode_members
from balsamspoke_types.objects import CATALOGUE_KINDS

from .exceptions import FileProblem

_KINDS_BY_NAME = {kind.value: kind for kind in CATALOGUE_KINDS}
# The singular is accepted too, since it reads better in a file of one object.
_KINDS_BY_NAME |= {kind.value.rstrip("s"): kind for kind in CATALOGUE_KINDS}


@dataclass(frozen=True, slots=True)
class FileObject:
    """A catalogue object and its position in a file.

    Attributes
    ----------
    kind : Kind
        Kind of the object.
    value : object
        Data class of the object.
    path : str
        Path of the file.
    line : int
        First line of the object, from 1.
    lines : dict
        Line of each field, by name.
    """

    kind: object
    value: object
    path: str
    line: int
    lines: dict = field(default_factory=dict)

    def find_line(self, field_name):
        """Return the line of a field, or the object's first line if it has none."""
        return self.lines.get(field_name, self.line)


def find_kind(name):
    """Return the Kind of a plural or singular name, or None."""
    return _KINDS_BY_NAME.get(name)


def read_files(paths):
    """Return the FileObjects of all files.

    Raises
    ------
    ExceptionGroup
        With a FileProblem for each problem in any file.
    """
    objects, problems = [], []
    for path in paths:
        try:
            content = path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            problems.append(FileProblem(path, 1, f"can't be read: {error}"))
            continue
        parse_text(str(path), content, objects, problems)
    if problems:
        raise ExceptionGroup("the catalogue files aren't valid", problems)
    return objects


def parse_text(path, content, objects, problems):
    """Parse the text of one file.

    Parameters
    ----------
    path : str
        Path of the file, for problems.
    content : str
        YAML or JSON text.
    objects : list
        Receives the FileObjects.
    problems : list
        Receives the FileProblems.
    """
    loader = yaml.SafeLoader(content)
    try:
        while loader.check_node():
            _read_document(path, loader, loader.get_node(), objects, problems)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        problems.append(FileProblem(path, line, f"not YAML: {error.problem}"))
    except (yaml.YAMLError, RecursionError) as error:
        problems.append(FileProblem(path, 1, f"not YAML: {error}"))
    finally:
        loader.dispose()


def _read_document(path, loader, node, objects, problems):
    items = node.value if isinstance(node, yaml.SequenceNode) else [node]
    for item in items:
        try:
            objects.append(_read_object(path, loader, item))
        except FileProblem as problem:
            problems.append(problem)


def _read_object(path, loader, node):
    line = node.start_mark.line + 1
    if not isinstance(node, yaml.MappingNode):
        raise FileProblem(path, line, "not an object; write kind, name and fields")
    lines = _find_lines(path, node)
    try:
        members = loader.construct_document(node)
    except (yaml.YAMLError, ValueError, TypeError) as error:
        raise FileProblem(path, line, f"not plain data: {error}") from error
    kind = find_kind(members.pop("kind", None))
    if kind is None:
        names = ", ".join(kind.value for kind in CATALOGUE_KINDS)
        problem = f"no such kind; use one of {names}"
        raise FileProblem(path, lines.get("kind", line), problem)
    name = members.pop("name", None)
    if not isinstance(name, str):
        raise FileProblem(path, lines.get("name", line), "name is missing or no text")
    try:
        value = decode_members(kind, name, members, strict=True)
    except CatalogueError as error:
        error_line = lines.get(get_field_name(error), line)
        raise FileProblem(path, error_line, str(error)) from error
    return FileObject(kind, value, path, line, lines)


def get_field_name(error):
    """Return the name of the invalid field in a CatalogueError, or ''."""
    kind_and_name, _, field_name = error.where.rpartition(".")
    return field_name.partition("[")[0] if kind_and_name else ""


def _find_lines(path, node):
    lines = {}
    for key, _ in node.value:
        line = key.start_mark.line + 1
        if not isinstance(key, yaml.ScalarNode):
            raise FileProblem(path, line, "a field's name must be text")
        if key.value in lines:
            raise FileProblem(path, line, f"{key.value} is given twice")
        lines[key.value] = line
    return lines
