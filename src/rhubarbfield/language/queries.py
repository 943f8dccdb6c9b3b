"""Build the statements that only read."""

from __future__ import annotations

from rhubarbfield.language.builder import (
    Node,
    StatementBuilder,
    builds,
    get_first_token,
    get_subtrees,
    get_tokens,
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

MAX_ROWS = 100_000


@builds("show")
def _build_show(builder: StatementBuilder, node: Node) -> Show:
    subject = get_first_token(get_subtrees(node, "subject")[0])
    return Show(
        subject=Subject(subject.lower()),
        where=_build_where(builder, node),
        sort=_build_sort(builder, node),
        limit=_build_limit(builder, node),
    )


@builds("explain")
def _build_explain(builder: StatementBuilder, node: Node) -> Explain:
    kind = get_tokens(node)[1]
    name = builder.read_name(get_subtrees(node, "name")[0])
    return Explain(kind=ExplainedKind(kind.lower()), identifier=name)


def _build_where(builder: StatementBuilder, node: Node) -> Condition | None:
    found = get_subtrees(node, "where")
    return _build_condition(builder, get_subtrees(found[0])[0]) if found else None


def _build_condition(builder: StatementBuilder, node: Node) -> Condition:
    children = get_subtrees(node)
    if node.data == "comparison":
        return _build_comparison(builder, node)
    conditions = tuple(_build_condition(builder, child) for child in children)
    if node.data == "negation":
        return Negation(condition=conditions[0])
    if len(conditions) == 1:
        return conditions[0]
    if node.data == "either":
        return AnyOf(conditions=conditions)
    return AllOf(conditions=conditions)


def _build_comparison(builder: StatementBuilder, node: Node) -> Comparison:
    return Comparison(
        column=builder.read_name(get_subtrees(node, "name")[0]),
        comparator=Comparator(get_first_token(node)),
        value=builder.read_value(get_subtrees(node, "value")[0]),
    )


def _build_sort(builder: StatementBuilder, node: Node) -> tuple[SortKey, ...]:
    return tuple(
        SortKey(
            builder.read_name(get_subtrees(key, "name")[0]),
            has_token(key, "DESCENDING"),
        )
        for clause in get_subtrees(node, "sort")
        for key in get_subtrees(clause, "sort_key")
    )


def _build_limit(builder: StatementBuilder, node: Node) -> int | None:
    found = get_subtrees(node, "limit")
    if not found:
        return None
    return builder.read_integer(get_tokens(found[0])[1], MAX_ROWS)
