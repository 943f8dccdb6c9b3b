"""Building the statements that change nothing."""

from __future__ import annotations

from rhubarbfield.language.building import (
    Building,
    Node,
    builds,
    find_nodes,
    find_token,
    find_tokens,
    has_token,
)
from rhubarbfield.language.statements import (
    AllOf,
    AnyOf,
    Comparator,
    Comparison,
    Condition,
    Explain,
    ExplainedKind,
    Negation,
    Show,
    SortKey,
    Subject,
)

MOST_ROWS = 100_000


@builds("show")
def _build_show(building: Building, node: Node) -> Show:
    subject = find_token(find_nodes(node, "subject")[0])
    return Show(
        subject=Subject(subject.lower()),
        where=_build_where(building, node),
        sort=_build_sort(building, node),
        limit=_build_limit(building, node),
    )


@builds("explain")
def _build_explain(building: Building, node: Node) -> Explain:
    kind = find_tokens(node)[1]
    name = building.read_name(find_nodes(node, "name")[0])
    return Explain(kind=ExplainedKind(kind.lower()), identifier=name)


def _build_where(building: Building, node: Node) -> Condition | None:
    found = find_nodes(node, "where")
    return _build_condition(building, find_nodes(found[0])[0]) if found else None


def _build_condition(building: Building, node: Node) -> Condition:
    children = find_nodes(node)
    if node.data == "comparison":
        return _build_comparison(building, node)
    conditions = tuple(_build_condition(building, child) for child in children)
    if node.data == "negation":
        return Negation(condition=conditions[0])
    if len(conditions) == 1:
        return conditions[0]
    if node.data == "either":
        return AnyOf(conditions=conditions)
    return AllOf(conditions=conditions)


def _build_comparison(building: Building, node: Node) -> Comparison:
    return Comparison(
        column=building.read_name(find_nodes(node, "name")[0]),
        comparator=Comparator(find_token(node)),
        value=building.read_value(find_nodes(node, "value")[0]),
    )


def _build_sort(building: Building, node: Node) -> tuple[SortKey, ...]:
    return tuple(
        SortKey(
            building.read_name(find_nodes(key, "name")[0]),
            has_token(key, "DESCENDING"),
        )
        for clause in find_nodes(node, "sort")
        for key in find_nodes(clause, "sort_key")
    )


def _build_limit(building: Building, node: Node) -> int | None:
    found = find_nodes(node, "limit")
    if not found:
        return None
    return building.read_whole(find_tokens(found[0])[1], MOST_ROWS)
