"""Result of the check of one configuration."""

import msgspec

from waxwingport.checks import changes
from waxwingport.checks import contradictions
from waxwingport.checks import differences as comparison
from waxwingport.checks import document as documents
from waxwingport.checks import findings
from waxwingport.checks import matching

__all__ = ['Report', 'compare', 'make_report']


class Report(msgspec.Struct, frozen=True):
    """Findings in order, and the differences from another version."""

    findings: tuple[findings.Finding, ...]
    differences: tuple[changes.Difference, ...] = ()

    def count(self, severity: findings.Severity) -> int:
        """Returns the number of findings of a severity."""
        return sum(finding.severity is severity for finding in self.findings)


def make_report(document: documents.Document) -> Report:
    """Returns all findings about a configuration."""
    found = findings.sort(
        [
            *document.findings,
            *matching.find_unmatched(document),
            *contradictions.find_contradictions(document),
        ]
    )
    return Report(tuple(found))


def compare(document: documents.Document, other: documents.Document) -> Report:
    """Returns all findings and the differences from another version.

    Versions are not compared if nodes reject one of them; the rejection of the
    other one is an error as well.
    """
    report = make_report(document)
    if other.is_rejected:
        reason = findings.sort(other.findings)[0]
        finding = findings.fail(
            findings.Kind.UNREADABLE,
            '$',
            'no differences are listed, since the other version has an error:'
            f' {reason.place}: {reason.message}',
        )
        return Report((finding, *report.findings))
    if document.is_rejected:
        return report
    found = comparison.compare(other, document)
    before = other.configuration.version
    after = document.configuration.version
    if found and after <= before:
        finding = findings.warn(
            findings.Kind.OLD_VERSION,
            document.locate('$', 'Configuration.version'),
            f'nodes that have version {before} ignore version {after};'
            f' expected at least {before + 1}',
        )
        return Report(
            tuple(findings.sort([finding, *report.findings])), tuple(found)
        )
    return Report(report.findings, tuple(found))
